import type { Upload } from "./upload.js";

/** Chunks from which on their mean size matters. */
const MIN_CHUNKS = 1_024;
/** Below this mean size, parsing takes more time than anything else. */
const MIN_MEAN_BYTES = 64;
/** Bodies of this kind that may arrive at once. */
const MAX_DENSE = 4;
const STALL_MS = 1_000;

/**
 * Bodies in chunks so small that parsing them takes the event loop: 300 callers
 * with chunks of one byte kept it from everything else for more than 5 s. A few
 * are read at once; the others are refused.
 */
export class DenseUploads {
  readonly #uploads = new Set<Upload>();

  /** False if the body has such chunks and too many others have them, too. */
  admit(
    upload: Upload,
    received: { readonly chunks: number; readonly bytes: number },
  ): boolean {
    const { chunks, bytes } = received;
    if (chunks < MIN_CHUNKS || bytes >= chunks * MIN_MEAN_BYTES) return true;
    if (this.#uploads.has(upload)) return true;
    const arriving = [...this.#uploads].filter(
      ({ idleMs }) => idleMs < STALL_MS,
    );
    if (arriving.length >= MAX_DENSE) return false;
    this.#uploads.add(upload);
    return true;
  }

  finish(upload: Upload): void {
    this.#uploads.delete(upload);
  }
}
