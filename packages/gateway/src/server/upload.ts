import type { ByteAllowance } from "@jujubeladder/utils";
import { monotonicMs } from "@jujubeladder/utils";

/** One request that arrives, and the memory that it holds. */
export class Upload implements ByteAllowance {
  readonly #acquire: (upload: Upload, bytes: number) => boolean;
  readonly #acquireHead: (upload: Upload, bytes: number) => boolean;
  readonly #release: (upload: Upload, bytes: number) => void;
  readonly #releaseHead: (bytes: number) => void;
  readonly #onEvicted: () => void;
  #progressedAtMs = monotonicMs();
  #heldBytes = 0;
  #heldHeadBytes = 0;
  /** Whether its memory counts as that of a large request. */
  isLarge = false;

  constructor(options: {
    readonly acquire: (upload: Upload, bytes: number) => boolean;
    /** Takes memory on the heap, beside that of `acquire`. */
    readonly acquireHead: (upload: Upload, bytes: number) => boolean;
    readonly release: (upload: Upload, bytes: number) => void;
    readonly releaseHead: (bytes: number) => void;
    readonly onEvicted: () => void;
  }) {
    this.#acquire = options.acquire;
    this.#acquireHead = options.acquireHead;
    this.#release = options.release;
    this.#releaseHead = options.releaseHead;
    this.#onEvicted = options.onEvicted;
  }

  /** All that it holds, its head included. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  get heldHeadBytes(): number {
    return this.#heldHeadBytes;
  }

  get idleMs(): number {
    return monotonicMs() - this.#progressedAtMs;
  }

  recordProgress(): void {
    this.#progressedAtMs = monotonicMs();
  }

  tryAcquire(bytes: number): boolean {
    if (!this.#acquire(this, bytes)) return false;
    this.#heldBytes += bytes;
    return true;
  }

  release(bytes: number): void {
    this.#heldBytes -= bytes;
    this.#release(this, bytes);
  }

  /** Takes the memory of the request's head; false if it is not available. */
  tryAcquireHead(bytes: number): boolean {
    if (!this.#acquireHead(this, bytes)) return false;
    if (!this.tryAcquire(bytes)) {
      this.#releaseHead(bytes);
      return false;
    }
    this.#heldHeadBytes = bytes;
    return true;
  }

  releaseHead(): void {
    const bytes = this.#heldHeadBytes;
    this.#heldHeadBytes = 0;
    this.#releaseHead(bytes);
    this.release(bytes);
  }

  /** Makes its holder give the memory back and refuse the request. */
  evict(): void {
    this.#onEvicted();
  }
}
