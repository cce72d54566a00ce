import { readClocks, sleep, type ClockReading } from "@jujubeladder/utils";
import type { MetadataStore } from "../model/metadata_store.js";
import type { StorePosition } from "../model/store_position.js";
import type { StoreReader } from "../model/store_reader.js";
import { computeStoreBackoffMs } from "./compute_store_backoff_ms.js";
import { recoverFromException } from "./recover_from_exception.js";
import type { ActiveConfig } from "./active_config.js";
import type { StoreReaderProvider } from "./store_reader_provider.js";
import type { StoreReadHealth } from "./store_read_health.js";

/**
 * Each response also confirms the version, so the wait limits the age of the
 * confirmation. But just after a restore, it stays below the age at which API
 * keys are rejected, also if a peer reads the store.
 */
const WATCH_WAIT_MS = 700;
/** Wait of the first watch after the time in which the operator writes again. */
const FIRST_WATCH_WAIT_MS = 1;
/** Detects connections that have stopped responding. */
const CALL_TIMEOUT_MS = 1_200;
/**
 * After a restore, what the operator wrote last may be missing for this long.
 */
const REWRITE_MS = 2_000;

/** Dependencies of the sync loop. */
interface ConfigSyncDependencies {
  readonly store: MetadataStore;
  readonly activeConfig: ActiveConfig;
  readonly readerProvider: StoreReaderProvider;
  readonly health: StoreReadHealth;
  readonly signal: AbortSignal;
}

/** Position in the watch of the store. */
interface WatchPosition {
  readonly asOf: StorePosition | undefined;
  /** The document that the store holds; undefined if it has none. */
  readonly text: string | undefined;
  /** True once the operator is known to have written in the store's era. */
  readonly isWritten: boolean;
  /** True if the document is known to be what the operator wrote last. */
  readonly isLast: boolean;
  /** True if it was read while the operator may not have written again. */
  readonly isInGap: boolean;
}

const INITIAL_POSITION: WatchPosition = {
  asOf: undefined,
  text: undefined,
  isWritten: false,
  isLast: false,
  isInGap: false,
};

/**
 * Keeps the active configuration in sync with the store. A peer that reads the
 * store only reports a newer version; the document itself is then read from the
 * store, since sending it to every peer would saturate the reader's link.
 */
export async function syncConfig(
  dependencies: ConfigSyncDependencies,
): Promise<void> {
  const { readerProvider, activeConfig, signal } = dependencies;
  let position = INITIAL_POSITION;
  while (!signal.aborted) {
    const reader = activeConfig.version > 0 ? readerProvider.find() : undefined;
    try {
      if (reader && (await confirmByReader(dependencies, reader))) {
        position = INITIAL_POSITION;
      } else position = await syncFromStore(dependencies, position);
    } catch (error) {
      position = INITIAL_POSITION;
      await recoverFromException(dependencies, reader, error);
    }
  }
}

// Returns false if the store must be read: the peer has a newer version or
// another text, or cannot confirm the active one.
async function confirmByReader(
  { readerProvider, health, activeConfig }: ConfigSyncDependencies,
  reader: StoreReader,
): Promise<boolean> {
  const { version } = activeConfig;
  const sentAt = readClocks();
  const result = await reader.watchConfig({ version, waitMs: WATCH_WAIT_MS });
  if (!result.ok) {
    readerProvider.recordFailure(reader, result.error);
    return false;
  }
  const { version: peerVersion, hash, ageMs, readAgeMs } = result.value;
  if (peerVersion < activeConfig.version) {
    readerProvider.recordFailure(
      reader,
      `the peer has only version ${peerVersion}`,
    );
    return false;
  }
  health.recordSuccess();
  if (peerVersion > activeConfig.version) return false;
  if (hash !== undefined && hash !== activeConfig.hash) return false;
  activeConfig.recordRead(subtractAge(sentAt, readAgeMs));
  if (ageMs !== undefined) activeConfig.confirm(subtractAge(sentAt, ageMs));
  return true;
}

async function syncFromStore(
  {
    store,
    activeConfig,
    readerProvider,
    health,
    signal,
  }: ConfigSyncDependencies,
  known: WatchPosition,
): Promise<WatchPosition> {
  const sentAt = readClocks();
  const { asOf } = known;
  const { era, eraAgeMs } = store;
  const waitMs = chooseWaitMs(known, eraAgeMs);
  health.recordCall(asOf === undefined ? 0 : waitMs);
  const result = await readNext(store, asOf, waitMs);
  if (!result.ok) {
    health.recordFailure(result.error);
    readerProvider.recordOwnFailure();
    await sleep(computeStoreBackoffMs(health.failures), signal);
    return INITIAL_POSITION;
  }
  health.recordSuccess();
  activeConfig.recordRead(sentAt);
  const { value } = result;
  if (value.type === "history_lost") {
    return INITIAL_POSITION;
  }
  const isChanged = value.type === "changed";
  const text = isChanged ? value.value : known.text;
  // A watch tells only of writes within its era.
  const isWritten = known.isWritten || (asOf !== undefined && isChanged);
  const hadTimeToWrite =
    store.eraAgeMs === Number.POSITIVE_INFINITY ||
    (value.asOf.era === era && eraAgeMs >= REWRITE_MS);
  const isLast = isWritten || hadTimeToWrite;
  if (text !== undefined && isLast && (isChanged || !known.isLast)) {
    activeConfig.applyStored(text);
  } else if (isChanged) activeConfig.applyIfNewer(value.value, "store");
  if (isLast && text === activeConfig.text) activeConfig.confirm(sentAt);
  if (activeConfig.version === 0) await sleep(computeStoreBackoffMs(0), signal);
  const isInGap = eraAgeMs < REWRITE_MS;
  return { asOf: value.asOf, text, isWritten, isLast, isInGap };
}

// A watch ends with the gap, and the first one after it confirms at once.
function chooseWaitMs({ isInGap }: WatchPosition, eraAgeMs: number): number {
  const leftMs = REWRITE_MS - eraAgeMs;
  if (leftMs > 0) return Math.min(WATCH_WAIT_MS, Math.ceil(leftMs));
  return isInGap ? FIRST_WATCH_WAIT_MS : WATCH_WAIT_MS;
}

async function readNext(
  store: MetadataStore,
  asOf: StorePosition | undefined,
  waitMs: number,
) {
  if (asOf !== undefined) {
    const timeoutMs = waitMs + CALL_TIMEOUT_MS;
    return await store.watchConfig({ asOf, waitMs, timeoutMs });
  }
  const read = await store.readConfig({ timeoutMs: CALL_TIMEOUT_MS });
  if (!read.ok) return read;
  const { text, asOf: readAsOf } = read.value;
  const value =
    text === undefined
      ? ({ type: "unchanged", asOf: readAsOf } as const)
      : ({ type: "changed", value: text, asOf: readAsOf } as const);
  return { ok: true, value } as const;
}

function subtractAge(at: ClockReading, ageMs: number): ClockReading {
  return { monotonicMs: at.monotonicMs - ageMs, wallMs: at.wallMs - ageMs };
}
