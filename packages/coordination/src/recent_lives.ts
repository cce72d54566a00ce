import type { ClockReading } from "@jujubeladder/utils";

const MAX_LIVES = 512;

/** When requests with parts that have no losses last lived; bounded. */
export class RecentLives {
  /** The least recently set is the first. */
  readonly #livedAt = new Map<string, ClockReading>();

  set(partId: string, livedAt: ClockReading): void {
    this.#livedAt.delete(partId);
    this.#livedAt.set(partId, livedAt);
    if (this.#livedAt.size <= MAX_LIVES) return;
    const [oldest] = this.#livedAt.keys();
    if (oldest !== undefined) this.#livedAt.delete(oldest);
  }

  /** Returns and forgets the last life of a part. */
  take(partId: string): ClockReading | undefined {
    const livedAt = this.#livedAt.get(partId);
    this.#livedAt.delete(partId);
    return livedAt;
  }
}
