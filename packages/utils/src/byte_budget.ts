import type { ByteAllowance } from "./byte_allowance.js";

/** Memory that several holders share, in bytes. */
export class ByteBudget implements ByteAllowance {
  #maxBytes: number;
  #usedBytes = 0;

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  get usedBytes(): number {
    return this.#usedBytes;
  }

  get freeBytes(): number {
    return this.#maxBytes - this.#usedBytes;
  }

  /** Changes the limit; what is held beyond a lower one stays held. */
  setMaxBytes(maxBytes: number): void {
    this.#maxBytes = maxBytes;
  }

  /** Takes the bytes; false if they are not available. */
  tryAcquire(bytes: number): boolean {
    if (this.#usedBytes + bytes > this.#maxBytes) return false;
    this.#usedBytes += bytes;
    return true;
  }

  release(bytes: number): void {
    this.#usedBytes -= bytes;
  }
}
