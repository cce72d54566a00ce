import { readClocks, sleep } from "@jujubeladder/utils";
import type { MetadataStore } from "../model/metadata_store.js";
import type { ViewRelay } from "../model/view_relay.js";
import { computeStoreBackoffMs } from "./compute_store_backoff_ms.js";
import type { ConfigInForce } from "./config_in_force.js";
import type { RelaySource } from "./relay_source.js";
import type { StoreLink } from "./store_link.js";

/**
 * Each answer also confirms the version, so the wait bounds the proof's age:
 * four waits where a peer reads, which is well below what keys may rest on.
 */
const WAIT_MS = 700;
/** Finds connections that have gone silent. */
const TIMEOUT_MS = 1_200;

/** What following works with. */
interface ConfigFollowing {
  readonly store: MetadataStore;
  readonly view: ConfigInForce;
  readonly relays: RelaySource;
  readonly link: StoreLink;
  readonly signal: AbortSignal;
}

/** Where the watch of the store stands. */
interface Position {
  readonly asOf: number | undefined;
  /** False while the newest configuration is one that was refused. */
  readonly isNewest: boolean;
}

const START: Position = { asOf: undefined, isNewest: false };

/**
 * Keeps the configuration in force as new as the store has it. A peer that
 * reads the store says when there is a newer one, which is then read there,
 * since a document for each peer would fill the reader's link.
 */
export async function followConfig(parts: ConfigFollowing): Promise<void> {
  const { relays, view, signal } = parts;
  let position = START;
  while (!signal.aborted) {
    const relay = view.version > 0 ? relays.find() : undefined;
    if (relay && (await isNewestByRelay(parts, relay))) {
      position = START;
    } else position = await followStore(parts, position);
  }
}

// False when the store must be read: the peer knows a newer version, or is of
// no use.
async function isNewestByRelay(
  { relays, link, view }: ConfigFollowing,
  relay: ViewRelay,
): Promise<boolean> {
  const { version } = view;
  const sentAt = readClocks();
  const answer = await relay.watchConfig({ version, waitMs: WAIT_MS });
  if (!answer.ok) {
    relays.noteFailure(relay, answer.error);
    return false;
  }
  const { version: theirs, ageMs } = answer.value;
  if (theirs < view.version) {
    relays.noteFailure(relay, `the peer has version ${theirs} only`);
    return false;
  }
  link.noteSuccess();
  if (theirs > view.version) return false;
  view.confirm({
    monotonicMs: sentAt.monotonicMs - ageMs,
    wallMs: sentAt.wallMs - ageMs,
  });
  return true;
}

async function followStore(
  { store, view, relays, link, signal }: ConfigFollowing,
  { asOf, isNewest: wasNewest }: Position,
): Promise<Position> {
  const sentAt = readClocks();
  link.noteCall(asOf === undefined ? 0 : WAIT_MS);
  const answer = await readNext(store, asOf);
  if (!answer.ok) {
    link.noteFailure(answer.error);
    relays.noteOwnFailure();
    await sleep(computeStoreBackoffMs(link.failures), signal);
    return { asOf: undefined, isNewest: wasNewest };
  }
  link.noteSuccess();
  const { value } = answer;
  if (value.type === "history_lost") {
    return { asOf: undefined, isNewest: wasNewest };
  }
  const isNewest =
    value.type === "changed"
      ? view.offer(value.value, "store") || view.text === value.value
      : wasNewest;
  if (isNewest) view.confirm(sentAt);
  if (view.version === 0) await sleep(computeStoreBackoffMs(0), signal);
  return { asOf: value.asOf, isNewest };
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
