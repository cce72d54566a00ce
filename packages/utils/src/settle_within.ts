import { sleep } from "./sleep.js";

/** Returns the promise's value, or undefined after `timeoutMs`. */
export async function settleWithin<Value>(
  promise: Promise<Value>,
  timeoutMs: number,
): Promise<Value | undefined> {
  const timer = new AbortController();
  try {
    return await Promise.race([
      promise,
      sleep(timeoutMs, timer.signal).then(() => undefined),
    ]);
  } finally {
    timer.abort();
  }
}
