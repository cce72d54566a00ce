import { setTimeout } from "node:timers/promises";

/** Waits for the delay; resolves early when the signal aborts. */
export async function sleep(
  delayMs: number,
  signal?: AbortSignal,
): Promise<void> {
  try {
    await setTimeout(delayMs, undefined, signal ? { signal } : {});
  } catch (error) {
    if (!signal?.aborted) throw error;
  }
}
