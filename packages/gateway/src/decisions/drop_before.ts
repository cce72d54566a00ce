/** Removes the times before `sinceMs` from a list in ascending order. */
export function dropBefore(timesMs: number[], sinceMs: number): void {
  const keep = timesMs.findIndex((atMs) => atMs >= sinceMs);
  timesMs.splice(0, keep === -1 ? timesMs.length : keep);
}
