import { sleep } from "@jujubeladder/utils";
import type { MetadataStore } from "../model/metadata_store.js";
import type { RunnerChange } from "../model/runner_change.js";
import { computeStoreBackoffMs } from "./compute_store_backoff_ms.js";
import type { RunnerDirectory } from "./runner_directory.js";
import type { StoreLink } from "./store_link.js";

/** A leaving runner must be known within seconds, also on a dead connection. */
const WAIT_MS = 1_500;
const TIMEOUT_MS = 1_000;
/** A cut watch goes on from where it was; then the list is read anew. */
const WATCH_TRIES = 2;

/** Keeps the directory of runners as new as the store has it. */
export async function followRunners(
  store: MetadataStore,
  directory: RunnerDirectory,
  options: { readonly link: StoreLink; readonly signal: AbortSignal },
): Promise<void> {
  const { link } = options;
  let asOf: number | undefined;
  while (!options.signal.aborted) {
    link.noteCall(asOf === undefined ? 0 : WAIT_MS);
    if (asOf === undefined) {
      const list = await store.listRunners({ timeoutMs: TIMEOUT_MS });
      if (list.ok) {
        link.noteSuccess();
        directory.replaceAll(list.value.runners);
        asOf = list.value.asOf;
      } else {
        link.noteFailure(list.error);
        await sleep(computeStoreBackoffMs(link.failures), options.signal);
      }
      continue;
    }
    const timeoutMs = WAIT_MS + TIMEOUT_MS;
    const answer = await store.watchRunners({
      asOf,
      waitMs: WAIT_MS,
      timeoutMs,
    });
    if (!answer.ok) {
      link.noteFailure(answer.error);
      if (link.failures >= WATCH_TRIES) asOf = undefined;
      await sleep(computeStoreBackoffMs(link.failures), options.signal);
      continue;
    }
    link.noteSuccess();
    switch (answer.value.type) {
      case "history_lost":
        asOf = undefined;
        break;
      case "unchanged":
        asOf = answer.value.asOf;
        break;
      case "changed":
        for (const change of answer.value.value) apply(directory, change);
        asOf = answer.value.asOf;
        break;
    }
  }
}

function apply(directory: RunnerDirectory, change: RunnerChange): void {
  switch (change.type) {
    case "put":
      directory.put(change.runner);
      break;
    case "removed":
      directory.remove(change.runnerId);
      break;
  }
}
