import { readClocks, sleep, type ClockReading } from "@jujubeladder/utils";
import type { MetadataStore } from "../model/metadata_store.js";
import type { RunnerChange } from "../model/runner_change.js";
import type { ViewRelay } from "../model/view_relay.js";
import { computeStoreBackoffMs } from "./compute_store_backoff_ms.js";
import type { RelaySource } from "./relay_source.js";
import type { RunnerDirectory } from "./runner_directory.js";
import type { RunnerMirror } from "./runner_mirror.js";
import type { StoreLink } from "./store_link.js";

/** Twice this is how old a reader's word gets that peers rest on. */
const WAIT_MS = 700;
const TIMEOUT_MS = 1_000;
/** A cut watch goes on from where it was; then the list is read anew. */
const WATCH_TRIES = 2;

/** What following works with. */
interface RunnerFollowing {
  readonly store: MetadataStore;
  readonly directory: RunnerDirectory;
  readonly mirror: RunnerMirror;
  readonly relays: RelaySource;
  readonly link: StoreLink;
  readonly signal: AbortSignal;
}

/**
 * Keeps the directory of runners as new as the store has it, by a peer that
 * reads it or by own reads.
 */
export async function followRunners(parts: RunnerFollowing): Promise<void> {
  const { relays, signal } = parts;
  let asOf: number | undefined;
  while (!signal.aborted) {
    const relay = relays.find();
    asOf = relay
      ? await followRelay(parts, relay, asOf)
      : await followStore(parts, asOf);
  }
}

// Each step returns the revision that the directory is of, if it is known.
async function followRelay(
  { relays, link, directory, mirror }: RunnerFollowing,
  relay: ViewRelay,
  asOf: number | undefined,
): Promise<number | undefined> {
  const sentAt = readClocks();
  const answer = await relay.watchRunners({ asOf: asOf ?? 0, waitMs: WAIT_MS });
  if (!answer.ok) {
    relays.noteFailure(relay, answer.error);
    return asOf;
  }
  link.noteSuccess();
  const { value } = answer;
  const read = { asOf: value.asOf, readAt: before(sentAt, value.ageMs) };
  if (value.type === "list") {
    directory.replaceAll(value.runners);
    mirror.noteList(value.runners, read);
  } else {
    for (const change of value.changes) apply(directory, change);
    mirror.noteChanges(value.changes, read);
  }
  return value.asOf;
}

async function followStore(
  parts: RunnerFollowing,
  asOf: number | undefined,
): Promise<number | undefined> {
  return asOf === undefined
    ? await readList(parts)
    : await watchList(parts, asOf);
}

async function readList({
  store,
  relays,
  link,
  directory,
  mirror,
  signal,
}: RunnerFollowing): Promise<number | undefined> {
  const readAt = readClocks();
  link.noteCall(0);
  const list = await store.listRunners({ timeoutMs: TIMEOUT_MS });
  if (!list.ok) {
    link.noteFailure(list.error);
    relays.noteOwnFailure();
    await sleep(computeStoreBackoffMs(link.failures), signal);
    return undefined;
  }
  link.noteSuccess();
  const { runners, asOf } = list.value;
  directory.replaceAll(runners);
  mirror.noteList(runners, { asOf, readAt });
  return asOf;
}

async function watchList(
  { store, relays, link, directory, mirror, signal }: RunnerFollowing,
  asOf: number,
): Promise<number | undefined> {
  const readAt = readClocks();
  link.noteCall(WAIT_MS);
  const answer = await store.watchRunners({
    asOf,
    waitMs: WAIT_MS,
    timeoutMs: WAIT_MS + TIMEOUT_MS,
  });
  if (!answer.ok) {
    link.noteFailure(answer.error);
    relays.noteOwnFailure();
    await sleep(computeStoreBackoffMs(link.failures), signal);
    return link.failures >= WATCH_TRIES ? undefined : asOf;
  }
  link.noteSuccess();
  const { value } = answer;
  if (value.type === "history_lost") return undefined;
  const changes = value.type === "changed" ? value.value : [];
  for (const change of changes) apply(directory, change);
  mirror.noteChanges(changes, { asOf: value.asOf, readAt });
  return value.asOf;
}

function before(at: ClockReading, ageMs: number): ClockReading {
  return { monotonicMs: at.monotonicMs - ageMs, wallMs: at.wallMs - ageMs };
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
