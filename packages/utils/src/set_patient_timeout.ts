/** Part of the delay that starts only once the rest has passed. */
const LAST_PART_MS = 100;

/**
 * Calls back after a delay, unless the function that it returns is called
 * before. A stall of this process does not pass for silence of the other end:
 * the last part of the delay starts after it, and what has arrived meanwhile is
 * read first.
 */
export function setPatientTimeout(
  onTimeout: () => void,
  delayMs: number,
): () => void {
  const lastPartMs = Math.min(LAST_PART_MS, delayMs / 2);
  let lastTimer: NodeJS.Timeout | undefined;
  let immediate: NodeJS.Immediate | undefined;
  const firstTimer = setTimeout(() => {
    // A timer started here would count from before the stall: timers use the
    // time at which the event loop began to run them.
    immediate = setImmediate(() => {
      lastTimer = setTimeout(onTimeout, lastPartMs);
    });
  }, delayMs - lastPartMs);
  return () => {
    clearTimeout(firstTimer);
    clearImmediate(immediate);
    clearTimeout(lastTimer);
  };
}
