/** Time without a byte after which an unfinished body counts as stalled. */
const STALL_MS = 1_000;
/** A body that needs little takes the memory of one that holds this much more. */
const SIZE_RATIO = 2;

/** An unfinished body, as far as this decision depends on it. */
interface UnfinishedUpload {
  readonly heldBytes: number;
  /** Time since its last byte arrived. */
  readonly idleMs: number;
}

/**
 * Chooses the unfinished body that gives way to one that would hold
 * `neededBytes`, or none: the largest of those that have stalled, else the
 * largest of those that hold far more. The load that it answers is a crowd whose
 * bodies stop short of their end: without it, a dozen of them hold all memory.
 */
export function chooseEvictedUpload<Upload extends UnfinishedUpload>(
  uploads: Iterable<Upload>,
  neededBytes: number,
): Upload | undefined {
  let best: Upload | undefined;
  for (const upload of uploads) {
    const isStalled = upload.idleMs >= STALL_MS;
    const isFarLarger = upload.heldBytes >= SIZE_RATIO * neededBytes;
    if (upload.heldBytes === 0 || (!isStalled && !isFarLarger)) continue;
    const bestIsStalled = best !== undefined && best.idleMs >= STALL_MS;
    const isBetter =
      !best ||
      (isStalled === bestIsStalled
        ? upload.heldBytes > best.heldBytes
        : isStalled);
    if (isBetter) best = upload;
  }
  return best;
}
