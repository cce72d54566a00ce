import { rankByRendezvous } from "@jujubeladder/utils";

/** Enough for one to be reached if others restart or are cut off. */
const COLLECTOR_COUNT = 3;

/**
 * Returns the instances that are told of each loss of a request, whichever
 * instance saw it, so that its losses meet however many others there are.
 */
export function chooseCollectors(
  fingerprint: string,
  instanceIds: readonly string[],
): readonly string[] {
  return rankByRendezvous(fingerprint, instanceIds).slice(0, COLLECTOR_COUNT);
}
