import { monotonicMs } from "@jujubeladder/utils";

/** Runs on a runner that has left end well within this time. */
const RETENTION_MS = 60_000;

/**
 * The incarnations of runners whose entries were removed after they had said
 * that they leave.
 */
export class DepartedRunners {
  /** The earliest first. */
  readonly #sinceMs = new Map<string, number>();

  add(incarnationId: string): void {
    const nowMs = monotonicMs();
    this.#sinceMs.delete(incarnationId);
    this.#sinceMs.set(incarnationId, nowMs);
    for (const [known, sinceMs] of this.#sinceMs) {
      if (nowMs - sinceMs < RETENTION_MS) return;
      this.#sinceMs.delete(known);
    }
  }

  has(incarnationId: string): boolean {
    return this.#sinceMs.has(incarnationId);
  }

  delete(incarnationId: string): void {
    this.#sinceMs.delete(incarnationId);
  }
}
