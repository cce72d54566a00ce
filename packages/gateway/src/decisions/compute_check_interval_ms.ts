/** Share of the reads of the store that checks of the runner list may take. */
const READ_SHARE = 0.25;
const DEFAULT_READS_PER_SECOND = 1_000;
const MS_PER_SECOND = 1_000;

/**
 * Least time between two checks of the runner list by one instance, so that those
 * of the whole fleet stay within their share of the store's reads.
 */
export function computeCheckIntervalMs({
  instanceCount,
  readsPerSecond = DEFAULT_READS_PER_SECOND,
}: {
  readonly instanceCount: number;
  readonly readsPerSecond: number | undefined;
}): number {
  return (instanceCount * MS_PER_SECOND) / (READ_SHARE * readsPerSecond);
}
