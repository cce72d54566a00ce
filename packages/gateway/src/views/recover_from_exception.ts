import { describeError, sleep } from "@jujubeladder/utils";
import type { StoreReader } from "../model/store_reader.js";
import { computeStoreBackoffMs } from "./compute_store_backoff_ms.js";
import type { StoreReaderProvider } from "./store_reader_provider.js";
import type { StoreReadHealth } from "./store_read_health.js";

/**
 * Treats an exception in a sync loop, such as a decoder's, as a failed read of
 * the reader or, without one, of the store; resolves after the backoff.
 */
export async function recoverFromException(
  dependencies: {
    readonly readerProvider: StoreReaderProvider;
    readonly health: StoreReadHealth;
    readonly signal: AbortSignal;
  },
  reader: StoreReader | undefined,
  error: unknown,
): Promise<void> {
  const { readerProvider, health, signal } = dependencies;
  const reason = describeError(error);
  if (reader) readerProvider.recordFailure(reader, reason);
  else {
    health.recordFailure(reason);
    readerProvider.recordOwnFailure();
  }
  await sleep(computeStoreBackoffMs(health.failures), signal);
}
