import { getHeapStatistics } from "node:v8";
import { computeMemoryShares } from "../decisions/compute_memory_shares.js";
import type { ProcessLimits } from "./process_limits.js";

/** The smallest memory for which the shares do not depend on it any more. */
const DEFAULT_MEMORY_BYTES = 256 * 1_048_576;
const DEFAULT_DESCRIPTORS = 4_096;
/** The rest of the heap is for what is not counted, and for garbage. */
const PARSED_HEADS_SHARE = 0.2;
/** Descriptors for files, which the platform reserves. */
const FILE_DESCRIPTORS = 200;
/** The rest is for runners, peers, the store and metrics. */
const CALLERS_SHARE = 0.6;

/** Derives the limits of a process from its machine; absent values get defaults. */
export function computeProcessLimits(machine: {
  readonly memoryBytes?: number | undefined;
  readonly maxDescriptors?: number | undefined;
  /** Limit of the JavaScript engine on its heap; by default that of this process. */
  readonly heapBytes?: number | undefined;
}): ProcessLimits {
  const { memoryBytes = DEFAULT_MEMORY_BYTES } = machine;
  const { maxDescriptors = DEFAULT_DESCRIPTORS } = machine;
  const { heapBytes = getHeapStatistics().heap_size_limit } = machine;
  const shares = computeMemoryShares(memoryBytes);
  const sockets = Math.max(0, maxDescriptors - FILE_DESCRIPTORS);
  return {
    ...shares,
    parsedHeadsBytes: Math.min(
      shares.bodiesBytes,
      heapBytes * PARSED_HEADS_SHARE,
    ),
    maxCallerConnections: Math.max(1, Math.floor(sockets * CALLERS_SHARE)),
  };
}
