const MIB = 1_048_576;
/**
 * What the process needs beside the shares: code, heap, connections, and what
 * the garbage collector frees late. An idle process has 73 MB.
 */
const OWN_BYTES = 96 * MIB;
const BODIES_SHARE = 1 / 4;
const ANSWERS_SHARE = 1 / 4;
const STORE_SHARE = 1 / 4;
const HEADS_SHARE = 1 / 8;
/** Has room for a body of the largest size on the deployments known, 4 MiB. */
const MIN_SHARE_BYTES = 8 * MIB;
const MIN_HEADS_BYTES = 2 * MIB;
/** More than this is of no use, as the heap does not grow with the machine. */
const MAX_BODIES_BYTES = 48 * MIB;
const MAX_ANSWERS_BYTES = 32 * MIB;
const MAX_STORE_BYTES = 32 * MIB;
const MAX_HEADS_BYTES = 16 * MIB;

/** Memory that each kind of buffer may take in total, in bytes. */
interface MemoryShares {
  readonly bodiesBytes: number;
  readonly answersBytes: number;
  readonly storeBytes: number;
  /** Heads of callers' requests that have not ended. */
  readonly headsBytes: number;
}

/** Divides a machine's memory among the buffers of one process. */
export function computeMemoryShares(memoryBytes: number): MemoryShares {
  const spareBytes = Math.max(0, memoryBytes - OWN_BYTES);
  const take = (share: number, maxBytes: number, minBytes = MIN_SHARE_BYTES) =>
    Math.min(maxBytes, Math.max(minBytes, spareBytes * share));
  return {
    bodiesBytes: take(BODIES_SHARE, MAX_BODIES_BYTES),
    answersBytes: take(ANSWERS_SHARE, MAX_ANSWERS_BYTES),
    storeBytes: take(STORE_SHARE, MAX_STORE_BYTES),
    headsBytes: take(HEADS_SHARE, MAX_HEADS_BYTES, MIN_HEADS_BYTES),
  };
}
