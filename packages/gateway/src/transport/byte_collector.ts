import type { ByteBudget } from "@jujubeladder/utils";
import { RESPONSE_MEMORY } from "./response_memory.js";

/** Capacity that is not shared, so that floods leave ordinary responses be. */
const UNSHARED_BYTES = 64 * 1_024;
const MIN_CAPACITY_BYTES = 1_024;
const EMPTY = Buffer.alloc(0);

/**
 * Collects bytes up to a limit. Copies them, because a view of one byte would
 * keep all that was read with it. Larger collections share a memory budget.
 */
export class ByteCollector {
  readonly #maxBytes: number;
  readonly #memory: ByteBudget;
  #buffer: Buffer = EMPTY;
  #length = 0;
  #sharedBytes = 0;

  constructor(maxBytes: number, memory: ByteBudget = RESPONSE_MEMORY) {
    this.#maxBytes = maxBytes;
    this.#memory = memory;
  }

  get length(): number {
    return this.#length;
  }

  /** The bytes collected; later calls to `append` may not show in them. */
  get bytes(): Buffer {
    return this.#buffer.subarray(0, this.#length);
  }

  /** Appends a copy of the bytes; returns why if they do not fit. */
  append(bytes: Buffer): string | undefined {
    const length = this.#length + bytes.length;
    if (length > this.#maxBytes) return "the answer is too long";
    if (length > this.#buffer.length && !this.#grow(length)) {
      return "answers under way take too much memory";
    }
    bytes.copy(this.#buffer, this.#length);
    this.#length = length;
    return undefined;
  }

  /** Forgets the bytes and returns the shared memory. */
  clear(): void {
    this.#memory.release(this.#sharedBytes);
    this.#sharedBytes = 0;
    this.#buffer = EMPTY;
    this.#length = 0;
  }

  #grow(length: number): boolean {
    const capacity = Math.min(
      this.#maxBytes,
      Math.max(MIN_CAPACITY_BYTES, length, 2 * this.#buffer.length),
    );
    const sharedBytes = Math.max(0, capacity - UNSHARED_BYTES);
    if (!this.#memory.tryAcquire(sharedBytes - this.#sharedBytes)) return false;
    this.#sharedBytes = sharedBytes;
    const grown = Buffer.allocUnsafe(capacity);
    this.bytes.copy(grown);
    this.#buffer = grown;
    return true;
  }
}
