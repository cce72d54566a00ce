import { monotonicMs, sleep } from "@jujubeladder/utils";

/** How often those who wait look whether waiting still makes sense. */
const LOOK_MS = 150;

/** Lets tasks wait for a change of something that others keep. */
export class ChangeSignal {
  readonly #waiting = new Set<AbortController>();

  /** Ends all waits of now. */
  notify(): void {
    for (const waiting of [...this.#waiting]) waiting.abort();
  }

  /** Waits until the condition holds, at most for some time. */
  async waitUntil(condition: () => boolean, mostMs: number): Promise<void> {
    const endMs = monotonicMs() + mostMs;
    for (;;) {
      const leftMs = endMs - monotonicMs();
      if (condition() || leftMs <= 0) return;
      const change = new AbortController();
      this.#waiting.add(change);
      await sleep(Math.min(LOOK_MS, leftMs), change.signal);
      this.#waiting.delete(change);
    }
  }
}
