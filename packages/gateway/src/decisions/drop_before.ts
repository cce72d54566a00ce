/** Removes the timestamps before `sinceMs` from an ascending list, in place. */
export function dropBefore(timesMs: number[], sinceMs: number): void {
  const keep = timesMs.findIndex((atMs) => atMs >= sinceMs);
  timesMs.splice(0, keep === -1 ? timesMs.length : keep);
}
