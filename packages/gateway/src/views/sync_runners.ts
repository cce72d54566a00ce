import { readClocks, sleep, type ClockReading } from "@jujubeladder/utils";
import type { MetadataStore } from "../model/metadata_store.js";
import type { RunnerChange } from "../model/runner_change.js";
import type { StorePosition } from "../model/store_position.js";
import type { StoreReader } from "../model/store_reader.js";
import { computeStoreBackoffMs } from "./compute_store_backoff_ms.js";
import { recoverFromException } from "./recover_from_exception.js";
import type { StoreReaderProvider } from "./store_reader_provider.js";
import type { RunnerDirectory } from "./runner_directory.js";
import type { RunnerWatchCache } from "./runner_watch_cache.js";
import type { StoreReadHealth } from "./store_read_health.js";

/** The view of an instance that reads the store is up to twice this old. */
const WATCH_WAIT_MS = 700;
/**
 * Wait of the first watch after another instance was the reader. Peers may ask
 * this instance now, and would reject a view that dates from that reader.
 */
const FIRST_WATCH_WAIT_MS = 1;
const CALL_TIMEOUT_MS = 1_000;
/** A failed watch is resumed; after this many failures the list is reread. */
const MAX_WATCH_FAILURES = 2;

/** Dependencies of the sync loop. */
interface RunnerSyncDependencies {
  readonly store: MetadataStore;
  readonly directory: RunnerDirectory;
  readonly watchCache: RunnerWatchCache;
  readonly readerProvider: StoreReaderProvider;
  readonly health: StoreReadHealth;
  readonly signal: AbortSignal;
}

/**
 * Keeps the directory of runners in sync with the store, through a peer that
 * reads the store or by its own reads.
 */
export async function syncRunners(
  dependencies: RunnerSyncDependencies,
): Promise<void> {
  const { readerProvider, signal } = dependencies;
  let asOf: StorePosition | undefined;
  let wasReader = false;
  while (!signal.aborted) {
    const reader = readerProvider.find();
    const waitMs = wasReader ? WATCH_WAIT_MS : FIRST_WATCH_WAIT_MS;
    try {
      asOf = reader
        ? await syncFromReader(dependencies, reader, asOf)
        : await syncFromStore(dependencies, asOf, waitMs);
    } catch (error) {
      asOf = undefined;
      await recoverFromException(dependencies, reader, error);
    }
    wasReader = !reader;
  }
}

// Each step returns the store's position that the directory reflects, or
// undefined if the list must be read again.
async function syncFromReader(
  {
    store,
    readerProvider,
    health,
    directory,
    watchCache,
  }: RunnerSyncDependencies,
  reader: StoreReader,
  asOf: StorePosition | undefined,
): Promise<StorePosition | undefined> {
  const sentAt = readClocks();
  const result = await reader.watchRunners({ asOf, waitMs: WATCH_WAIT_MS });
  if (!result.ok) {
    readerProvider.recordFailure(reader, result.error);
    return asOf;
  }
  health.recordSuccess();
  const { value } = result;
  store.recordPeerEra(value.asOf.era, reader.instanceId);
  const read = { asOf: value.asOf, readAt: subtractAge(sentAt, value.ageMs) };
  if (value.type === "list") {
    directory.replaceAll(value.runners);
    watchCache.replaceList(value.runners, read);
  } else {
    for (const change of value.changes) applyChange(directory, change);
    watchCache.applyChanges(value.changes, read);
  }
  return value.asOf;
}

async function syncFromStore(
  dependencies: RunnerSyncDependencies,
  asOf: StorePosition | undefined,
  waitMs: number,
): Promise<StorePosition | undefined> {
  return asOf === undefined
    ? await readList(dependencies)
    : await watchList(dependencies, { asOf, waitMs });
}

async function readList({
  store,
  readerProvider,
  health,
  directory,
  watchCache,
  signal,
}: RunnerSyncDependencies): Promise<StorePosition | undefined> {
  const readAt = readClocks();
  health.recordCall(0);
  const list = await store.listRunners({ timeoutMs: CALL_TIMEOUT_MS });
  if (!list.ok) {
    health.recordFailure(list.error);
    readerProvider.recordOwnFailure();
    await sleep(computeStoreBackoffMs(health.failures), signal);
    return undefined;
  }
  health.recordSuccess();
  const { runners, asOf } = list.value;
  directory.replaceAll(runners);
  watchCache.replaceList(runners, { asOf, readAt });
  return asOf;
}

async function watchList(
  {
    store,
    readerProvider,
    health,
    directory,
    watchCache,
    signal,
  }: RunnerSyncDependencies,
  {
    asOf,
    waitMs,
  }: {
    readonly asOf: StorePosition;
    readonly waitMs: number;
  },
): Promise<StorePosition | undefined> {
  const readAt = readClocks();
  health.recordCall(waitMs);
  const result = await store.watchRunners({
    asOf,
    waitMs,
    timeoutMs: waitMs + CALL_TIMEOUT_MS,
  });
  if (!result.ok) {
    health.recordFailure(result.error);
    readerProvider.recordOwnFailure();
    await sleep(computeStoreBackoffMs(health.failures), signal);
    return health.failures >= MAX_WATCH_FAILURES ? undefined : asOf;
  }
  health.recordSuccess();
  const { value } = result;
  if (value.type === "history_lost") return undefined;
  const changes = value.type === "changed" ? value.value : [];
  for (const change of changes) applyChange(directory, change);
  watchCache.applyChanges(changes, { asOf: value.asOf, readAt });
  return value.asOf;
}

function subtractAge(at: ClockReading, ageMs: number): ClockReading {
  return { monotonicMs: at.monotonicMs - ageMs, wallMs: at.wallMs - ageMs };
}

function applyChange(directory: RunnerDirectory, change: RunnerChange): void {
  switch (change.type) {
    case "put":
      directory.put(change.runner);
      break;
    case "removed":
      directory.remove(change.runnerId);
      break;
  }
}
