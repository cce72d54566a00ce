import type { Logger } from "@jujubeladder/logger";
import { monotonicMs, sleep } from "@jujubeladder/utils";
import { findDepartedSoftware } from "../decisions/find_departed_software.js";
import type { MetadataStore } from "../model/metadata_store.js";
import type { RunnerDirectory } from "./runner_directory.js";
import type { RunnerWatchCache } from "./runner_watch_cache.js";
import type { SoftwareSightings } from "./software_sightings.js";

const POLL_MS = 50;
const RETRY_MS = 500;
const CALL_TIMEOUT_MS = 1_000;
/** It is known by then which peers read the store on behalf of others. */
const MEMBERSHIP_MS = 300;
/** Peers that have known all versions for longer tell so within this time. */
const PEERS_MS = 2_000;

/**
 * Reads from the store's history which software versions there were before this
 * instance started or while it missed changes, unless its peers tell: none may have
 * lived longer. Of the instances that ask a peer for the list, each waits for its
 * peers first.
 */
export async function readSoftwareHistory(dependencies: {
  readonly store: MetadataStore;
  readonly directory: RunnerDirectory;
  readonly watchCache: RunnerWatchCache;
  readonly sightings: SoftwareSightings;
  /** True if this instance reads the store on behalf of others. */
  readonly isReader: () => boolean;
  /** For how long the store keeps its history. */
  readonly historyMs: number;
  readonly logger: Logger;
  readonly signal: AbortSignal;
}): Promise<void> {
  const { store, directory, watchCache, sightings, signal } = dependencies;
  const startedAtMs = monotonicMs();
  const { historyMs } = dependencies;
  while (!signal.aborted && sightings.knownForMs < historyMs) {
    await sleep(POLL_MS, signal);
    const { asOf } = watchCache;
    const waitMs = dependencies.isReader() ? MEMBERSHIP_MS : PEERS_MS;
    const isDue = monotonicMs() - startedAtMs >= waitMs;
    if (asOf.revision === 0 || !isDue) continue;
    const read = await store.readRunnerHistory?.({
      asOf,
      timeoutMs: CALL_TIMEOUT_MS,
    });
    if (!read) return;
    if (!read.ok) {
      await sleep(RETRY_MS, signal);
      continue;
    }
    const { changes, extent } = read.value;
    const departed = findDepartedSoftware(changes, (runnerId) =>
      directory.find(runnerId),
    );
    const knownForMs =
      !departed || extent === "none"
        ? 0
        : extent === "all"
          ? Number.POSITIVE_INFINITY
          : historyMs;
    const isJoined = sightings.recordHistory({
      knownForMs,
      knownUpTo: asOf,
      departed: departed ?? [],
    });
    // The list was read again meanwhile.
    if (!isJoined) continue;
    dependencies.logger.info("software_history_read", {
      extent,
      changes: changes.length,
      departed: departed?.length,
      is_complete: knownForMs > 0,
    });
    return;
  }
}
