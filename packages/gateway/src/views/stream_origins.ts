import { monotonicMs } from "@jujubeladder/utils";
import type { StreamOrigin } from "../model/stream_origin.js";

/** Callers do not take a stream up after its deadline. */
const RETENTION_MS = 90_000;
const MAX_ORIGINS = 20_000;
const MAX_ID_LENGTH = 200;

/** Where streams began, by the id of the request that brought the first event. */
export class StreamOrigins {
  /** The earliest first. */
  readonly #origins = new Map<
    string,
    StreamOrigin & { readonly atMs: number }
  >();

  record(requestId: string, origin: StreamOrigin): void {
    if (requestId.length > MAX_ID_LENGTH) return;
    const nowMs = monotonicMs();
    // The first event of a stream comes once.
    if (this.#origins.has(requestId)) return;
    const { serviceId, softwareVersion } = origin;
    this.#origins.set(requestId, { serviceId, softwareVersion, atMs: nowMs });
    for (const [id, { atMs }] of this.#origins) {
      const isKept =
        nowMs - atMs < RETENTION_MS && this.#origins.size <= MAX_ORIGINS;
      if (isKept) return;
      this.#origins.delete(id);
    }
  }

  find(requestId: string): StreamOrigin | undefined {
    return this.#origins.get(requestId);
  }
}
