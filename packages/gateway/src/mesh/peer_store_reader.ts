import { Code, ConnectError, type Client } from "@connectrpc/connect";
import type {
  PeerService,
  RunnerEntry,
  ViewState,
} from "@jujubeladder/protocol";
import type { Result } from "@jujubeladder/types";
import { describeError, setPatientTimeout } from "@jujubeladder/utils";
import { MAX_VIEW_AGE_MS } from "../model/max_view_age_ms.js";
import type { RunnerChange } from "../model/runner_change.js";
import type { RunnerListUpdate } from "../model/runner_list_update.js";
import type { StorePosition } from "../model/store_position.js";
import type { StoreReader } from "../model/store_reader.js";
import { decodeRunnerEntry } from "./decode_runner_entry.js";
import { toStorePosition } from "./to_store_position.js";

/** Time for a response to arrive after the requested wait has ended. */
const RESPONSE_MARGIN_MS = 300;
/** Wait of a call after an unanswered query, which has taken its time. */
const UNANSWERED_WAIT_MS = 1;

/** The store has no changes after such a position, so that none would be seen. */
const ODD_POSITION = {
  ok: false,
  error: "the peer's position is out of range",
} as const;
const OTHER_ERA = {
  ok: false,
  error: "the peer's changes are of another era",
} as const;

/** Watches the configuration and the runners through a peer. */
export class PeerStoreReader implements StoreReader {
  readonly instanceId: string;
  readonly #client: Client<typeof PeerService>;
  readonly #pollView: () => Promise<ViewState | undefined>;
  readonly #onRefusedEntry: (runnerId: string, reason: string) => void;

  /**
   * `pollView` is the cheaper way to learn that nothing has changed;
   * `onRefusedEntry` is called for each entry that names no runner to use.
   */
  constructor(
    instanceId: string,
    client: Client<typeof PeerService>,
    pollView: () => Promise<ViewState | undefined>,
    onRefusedEntry: (runnerId: string, reason: string) => void,
  ) {
    this.instanceId = instanceId;
    this.#client = client;
    this.#pollView = pollView;
    this.#onRefusedEntry = onRefusedEntry;
  }

  async watchConfig(options: {
    readonly version: number;
    readonly waitMs: number;
  }): ReturnType<StoreReader["watchConfig"]> {
    const { version } = options;
    const view = await this.#pollView();
    const waitMs = view ? options.waitMs : UNANSWERED_WAIT_MS;
    // A peer that is behind may catch up during the call.
    if (view && Number(view.configVersion) >= version) {
      return checkConfigAge({
        version: Number(view.configVersion),
        hash: view.configHash,
        ageMs: view.configAgeMs,
        readAgeMs: view.configReadAgeMs,
      });
    }
    try {
      const response = await callWithin(waitMs, async (signal) =>
        this.#client.watchConfig(
          { version: BigInt(version), waitMs },
          { signal },
        ),
      );
      const { ageMs, readAgeMs, documentHash } = response;
      return checkConfigAge({
        version: Number(response.version),
        hash: documentHash,
        ageMs,
        readAgeMs,
      });
    } catch (error) {
      return { ok: false, error: describeError(error) };
    }
  }

  async watchRunners(options: {
    readonly asOf: StorePosition | undefined;
    readonly waitMs: number;
  }): Promise<Result<RunnerListUpdate, string>> {
    const { asOf } = options;
    const view = asOf ? await this.#pollView() : undefined;
    const waitMs = view ? options.waitMs : UNANSWERED_WAIT_MS;
    if (view && asOf) {
      const { runnersEra: era, runnersAsOf, runnersChangedAsOf } = view;
      const read = toStorePosition({ era, revision: runnersAsOf }, asOf.era);
      if (!read) return ODD_POSITION;
      const isUnchanged =
        read.era === asOf.era &&
        read.revision >= asOf.revision &&
        Number(runnersChangedAsOf) <= asOf.revision;
      if (isUnchanged) {
        const { runnersAgeMs: ageMs } = view;
        if (ageMs === undefined || ageMs > MAX_VIEW_AGE_MS)
          return staleView(ageMs);
        const value = {
          type: "changes",
          changes: [],
          asOf: read,
          ageMs,
        } as const;
        return { ok: true, value };
      }
    }
    try {
      const request = {
        asOf: BigInt(asOf?.revision ?? 0),
        ...(asOf ? { asOfEra: BigInt(asOf.era) } : {}),
        waitMs,
      };
      const response = await callWithin(waitMs, async (signal) =>
        this.#client.watchRunners(request, { signal }),
      );
      const { ageMs, asOfEra: era } = response;
      if (ageMs === undefined || ageMs > MAX_VIEW_AGE_MS)
        return staleView(ageMs);
      const read = toStorePosition(
        { era, revision: response.asOf },
        asOf?.era ?? 0,
      );
      if (!read) return ODD_POSITION;
      const known = { asOf: read, ageMs };
      const changes = response.entries.map((entry) => this.#decode(entry));
      if (!response.isList) {
        if (asOf && read.era !== asOf.era) return OTHER_ERA;
        return { ok: true, value: { ...known, type: "changes", changes } };
      }
      const runners = changes.flatMap((change) =>
        change.type === "put" ? [change.runner] : [],
      );
      return { ok: true, value: { ...known, type: "list", runners } };
    } catch (error) {
      return { ok: false, error: describeError(error) };
    }
  }

  // An entry that names no runner to use removes the one that it named before.
  #decode(entry: RunnerEntry): RunnerChange {
    const decoded = decodeRunnerEntry(entry);
    if (decoded.ok) return decoded.value;
    const { runnerId } = entry;
    this.#onRefusedEntry(runnerId, decoded.error);
    return { type: "removed", runnerId };
  }
}

// The peer gets no time limit, which it would apply to a response that is ready
// after a stall of its own.
async function callWithin<Value>(
  waitMs: number,
  call: (signal: AbortSignal) => Promise<Value>,
): Promise<Value> {
  const abort = new AbortController();
  const stopTimer = setPatientTimeout(() => {
    abort.abort(new ConnectError("the call timed out", Code.DeadlineExceeded));
  }, waitMs + RESPONSE_MARGIN_MS);
  try {
    return await call(abort.signal);
  } finally {
    stopTimer();
  }
}

// A confirmation from before a restore is old, the reads since then are not.
function checkConfigAge(view: {
  readonly version: number;
  readonly hash: string;
  readonly ageMs: number | undefined;
  readonly readAgeMs: number | undefined;
}): Awaited<ReturnType<StoreReader["watchConfig"]>> {
  const { version, ageMs } = view;
  const hash = view.hash ? { hash: view.hash } : {};
  const readAgeMs = view.readAgeMs ?? ageMs;
  return readAgeMs === undefined || readAgeMs > MAX_VIEW_AGE_MS
    ? staleView(readAgeMs)
    : { ok: true, value: { version, ...hash, ageMs, readAgeMs } };
}

function staleView(ageMs: number | undefined): Result<never, string> {
  const view =
    ageMs === undefined ? "no current view" : `a view ${ageMs} ms old`;
  return { ok: false, error: `the peer has ${view}` };
}
