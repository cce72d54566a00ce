import { readClocks, sleep } from "@jujubeladder/utils";
import type { MetadataStore } from "../model/metadata_store.js";
import { computeStoreBackoffMs } from "./compute_store_backoff_ms.js";
import type { ConfigInForce } from "./config_in_force.js";
import type { StoreLink } from "./store_link.js";

/** Each answer also confirms the version, so the wait bounds its age. */
const WAIT_MS = 1_000;
/** Finds connections that have gone silent. */
const TIMEOUT_MS = 1_200;

/** Keeps the configuration in force as new as the store has it. */
export async function followConfig(
  store: MetadataStore,
  view: ConfigInForce,
  options: { readonly link: StoreLink; readonly signal: AbortSignal },
): Promise<void> {
  const { link } = options;
  let asOf: number | undefined;
  // False while the newest configuration is one that was refused.
  let isNewest = false;
  while (!options.signal.aborted) {
    const sentAt = readClocks();
    link.noteCall(asOf === undefined ? 0 : WAIT_MS);
    const answer = await readNext(store, asOf);
    if (!answer.ok) {
      link.noteFailure(answer.error);
      asOf = undefined;
      await sleep(computeStoreBackoffMs(link.failures), options.signal);
      continue;
    }
    link.noteSuccess();
    const { value } = answer;
    if (value.type === "history_lost") {
      asOf = undefined;
      continue;
    }
    if (value.type === "changed") {
      isNewest = view.offer(value.value, "store") || view.text === value.value;
    }
    asOf = value.asOf;
    if (isNewest) view.confirm(sentAt);
    if (view.version > 0) continue;
    await sleep(computeStoreBackoffMs(0), options.signal);
  }
}

async function readNext(store: MetadataStore, asOf: number | undefined) {
  if (asOf !== undefined) {
    const timeoutMs = WAIT_MS + TIMEOUT_MS;
    return await store.watchConfig({ asOf, waitMs: WAIT_MS, timeoutMs });
  }
  const read = await store.readConfig({ timeoutMs: TIMEOUT_MS });
  if (!read.ok) return read;
  const { text, asOf: readAsOf } = read.value;
  const value =
    text === undefined
      ? ({ type: "unchanged", asOf: readAsOf } as const)
      : ({ type: "changed", value: text, asOf: readAsOf } as const);
  return { ok: true, value } as const;
}
