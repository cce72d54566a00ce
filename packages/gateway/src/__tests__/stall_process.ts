/** Keeps the event loop from running, as a loaded machine does. */
export function stallProcess(durationMs: number): void {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs);
}
