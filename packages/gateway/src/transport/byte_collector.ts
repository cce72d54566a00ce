import type { ByteAllowance } from "@jujubeladder/utils";
import { RESPONSE_MEMORY } from "./response_memory.js";

/** Capacity that is not shared, so that floods leave ordinary responses be. */
const UNSHARED_BYTES = 64 * 1_024;
const MIN_CAPACITY_BYTES = 1_024;
/** Below that, the buffers themselves would take more than what they hold. */
const MIN_KEPT_BYTES = 16 * 1_024;
/** Of what a kept read holds, beside its bytes. */
const MAX_UNUSED_SHARE = 1 / 8;
const EMPTY = Buffer.alloc(0);

/**
 * Collects bytes up to a limit. Keeps large reads as they are, as copies would
 * leave as much behind for the garbage collector, and copies small views, which
 * would keep all that was read with them. Larger collections share a memory
 * budget.
 */
export class ByteCollector {
  readonly #maxBytes: number;
  readonly #memory: ByteAllowance;
  readonly #unsharedBytes: number;
  /** What precedes the tail. */
  #kept: Buffer[] = [];
  #keptBytes = 0;
  #keptCapacity = 0;
  #tail: Buffer = EMPTY;
  #tailLength = 0;
  #sharedBytes = 0;

  constructor(
    maxBytes: number,
    memory: ByteAllowance = RESPONSE_MEMORY,
    unsharedBytes = UNSHARED_BYTES,
  ) {
    this.#maxBytes = maxBytes;
    this.#memory = memory;
    this.#unsharedBytes = unsharedBytes;
  }

  get length(): number {
    return this.#keptBytes + this.#tailLength;
  }

  /** The bytes collected; later calls to `append` may not show in them. */
  get bytes(): Buffer {
    if (this.#kept.length > 0) this.#join();
    return this.#tail.subarray(0, this.#tailLength);
  }

  /** Appends bytes that do not change any more; returns why they do not fit. */
  append(bytes: Buffer): string | undefined {
    if (this.length + bytes.length > this.#maxBytes) {
      return "the answer is too long";
    }
    const hasRoom = isWorthKeeping(bytes)
      ? this.#keep(bytes)
      : this.#copy(bytes);
    return hasRoom ? undefined : "answers under way take too much memory";
  }

  /** Forgets the bytes and returns the shared memory. */
  clear(): void {
    this.#memory.release(this.#sharedBytes);
    this.#sharedBytes = 0;
    this.#setTail(EMPTY);
    this.#forgetKept();
  }

  #keep(bytes: Buffer): boolean {
    const { byteLength } = bytes.buffer;
    if (!this.#reserve(this.#capacity + byteLength)) return false;
    if (this.#tailLength > 0) {
      this.#kept.push(this.#tail.subarray(0, this.#tailLength));
      this.#keptBytes += this.#tailLength;
      this.#keptCapacity += this.#tail.length;
      this.#setTail(EMPTY);
    }
    this.#kept.push(bytes);
    this.#keptBytes += bytes.length;
    this.#keptCapacity += byteLength;
    return true;
  }

  #copy(bytes: Buffer): boolean {
    const length = this.#tailLength + bytes.length;
    if (length > this.#tail.length) {
      const capacity = Math.min(
        this.#maxBytes,
        Math.max(MIN_CAPACITY_BYTES, length, 2 * this.#tail.length),
      );
      if (!this.#reserve(this.#keptCapacity + capacity)) return false;
      const grown = Buffer.allocUnsafe(capacity);
      this.#tail.copy(grown, 0, 0, this.#tailLength);
      this.#tail = grown;
    }
    bytes.copy(this.#tail, this.#tailLength);
    this.#tailLength = length;
    return true;
  }

  #join(): void {
    const tail = this.#tail.subarray(0, this.#tailLength);
    const joined = Buffer.concat([...this.#kept, tail]);
    this.#forgetKept();
    this.#setTail(joined);
    // No more than what was reserved for the parts.
    this.#reserve(joined.length);
  }

  get #capacity(): number {
    return this.#keptCapacity + this.#tail.length;
  }

  #forgetKept(): void {
    this.#kept = [];
    this.#keptBytes = 0;
    this.#keptCapacity = 0;
  }

  #setTail(full: Buffer): void {
    this.#tail = full;
    this.#tailLength = full.length;
  }

  #reserve(capacity: number): boolean {
    // As many whole collections have to fit as the limits say; what those kept
    // hold beyond their bytes is small, see `isWorthKeeping`.
    const charged = Math.min(capacity, this.#maxBytes);
    const sharedBytes = Math.max(0, charged - this.#unsharedBytes);
    const more = sharedBytes - this.#sharedBytes;
    if (more > 0 && !this.#memory.tryAcquire(more)) return false;
    if (more < 0) this.#memory.release(-more);
    this.#sharedBytes = sharedBytes;
    return true;
  }
}

function isWorthKeeping({ length, buffer }: Buffer): boolean {
  const unusedBytes = buffer.byteLength - length;
  return length >= MIN_KEPT_BYTES && unusedBytes <= MAX_UNUSED_SHARE * length;
}
