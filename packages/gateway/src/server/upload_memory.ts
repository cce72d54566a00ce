import { ByteBudget } from "@jujubeladder/utils";
import { chooseEvictedUpload } from "../decisions/choose_evicted_upload.js";
import { Upload } from "./upload.js";

/** Most requests are smaller; these have memory of their own. */
const SMALL_BYTES = 64 * 1_024;
/** Share that large bodies leave to small ones. */
const SMALL_SHARE = 1 / 4;

/**
 * Memory of the requests that callers send. Where it is short, unfinished ones
 * give way; those that have arrived keep theirs until they end. Small requests
 * have a part of their own, which large ones cannot take. Heads also count on
 * their own: they are on the heap, bodies are not.
 */
export class UploadMemory {
  readonly #maxBytes: number;
  readonly #small: ByteBudget;
  readonly #large: ByteBudget;
  readonly #heads: ByteBudget;
  readonly #unfinished = new Set<Upload>();

  constructor(maxBytes: number, maxHeadBytes = maxBytes) {
    this.#maxBytes = maxBytes;
    this.#small = new ByteBudget(maxBytes * SMALL_SHARE);
    this.#large = new ByteBudget(maxBytes * (1 - SMALL_SHARE));
    this.#heads = new ByteBudget(maxHeadBytes);
  }

  get usedBytes(): number {
    return this.#small.usedBytes + this.#large.usedBytes;
  }

  get maxBytes(): number {
    return this.#maxBytes;
  }

  get unfinishedCount(): number {
    return this.#unfinished.size;
  }

  /** Begins a request; `onEvicted` must release what it holds and end it. */
  begin(onEvicted: () => void): Upload {
    const upload = new Upload({
      acquire: (holder, bytes) => this.#acquire(holder, bytes),
      acquireHead: (holder, bytes) => this.#acquireHead(holder, bytes),
      release: (holder, bytes) => {
        this.#poolOf(holder).release(bytes);
      },
      releaseHead: (bytes) => {
        this.#heads.release(bytes);
      },
      onEvicted,
    });
    this.#unfinished.add(upload);
    return upload;
  }

  /** The request has arrived whole, or will not. */
  finish(upload: Upload): void {
    this.#unfinished.delete(upload);
  }

  /** True if a body of the announced length fits, now or by evicting others. */
  hasRoomFor(upload: Upload, length: number): boolean {
    const isLarge = length > SMALL_BYTES;
    const pool = isLarge ? this.#large : this.#small;
    return this.#makeRoom(upload, {
      pool,
      bytes: length,
      findHeldBytes: (other) => heldBytesOf(other, isLarge),
    });
  }

  #acquireHead(upload: Upload, bytes: number): boolean {
    const pool = this.#heads;
    const findHeldBytes = (other: Upload) => other.heldHeadBytes;
    return (
      this.#makeRoom(upload, { pool, bytes, findHeldBytes }) &&
      pool.tryAcquire(bytes)
    );
  }

  #acquire(upload: Upload, bytes: number): boolean {
    const total = upload.heldBytes + bytes;
    if (upload.isLarge || total <= SMALL_BYTES)
      return this.#take(upload, bytes, upload.isLarge);
    if (!this.#take(upload, total, true)) return false;
    this.#small.release(upload.heldBytes);
    upload.isLarge = true;
    return true;
  }

  #take(upload: Upload, bytes: number, isLarge: boolean): boolean {
    const pool = isLarge ? this.#large : this.#small;
    if (pool.tryAcquire(bytes)) return true;
    const findHeldBytes = (other: Upload) => heldBytesOf(other, isLarge);
    return (
      this.#makeRoom(upload, { pool, bytes, findHeldBytes }) &&
      pool.tryAcquire(bytes)
    );
  }

  #makeRoom(
    upload: Upload,
    need: {
      readonly pool: ByteBudget;
      readonly bytes: number;
      /** What an unfinished request holds of the pool. */
      readonly findHeldBytes: (other: Upload) => number;
    },
  ): boolean {
    const { pool, bytes, findHeldBytes } = need;
    while (pool.freeBytes < bytes) {
      const others = [...this.#unfinished]
        .filter((other) => other !== upload)
        .map((other) => ({
          upload: other,
          heldBytes: findHeldBytes(other),
          idleMs: other.idleMs,
        }));
      const evicted = chooseEvictedUpload(others, upload.heldBytes + bytes);
      if (!evicted) return false;
      this.finish(evicted.upload);
      evicted.upload.evict();
    }
    return true;
  }

  #poolOf(upload: Upload): ByteBudget {
    return upload.isLarge ? this.#large : this.#small;
  }
}

function heldBytesOf(upload: Upload, isLarge: boolean): number {
  return upload.isLarge === isLarge ? upload.heldBytes : 0;
}
