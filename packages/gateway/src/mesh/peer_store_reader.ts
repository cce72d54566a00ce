import type { Client } from "@connectrpc/connect";
import type { PeerService } from "@jujubeladder/protocol";
import type { Result } from "@jujubeladder/types";
import { describeError } from "@jujubeladder/utils";
import type { RunnerListUpdate } from "../model/runner_list_update.js";
import type { StoreReader } from "../model/store_reader.js";
import { decodeRunnerEntry } from "./decode_runner_entry.js";

/** Time for a response to arrive after the requested wait has ended. */
const RESPONSE_MARGIN_MS = 300;
/** Older views are rejected, as a leaving runner gives only 2 s of notice. */
const MAX_VIEW_AGE_MS = 1_800;

/** Watches the configuration and the runners through a peer. */
export class PeerStoreReader implements StoreReader {
  readonly instanceId: string;
  readonly #client: Client<typeof PeerService>;

  constructor(instanceId: string, client: Client<typeof PeerService>) {
    this.instanceId = instanceId;
    this.#client = client;
  }

  async watchConfig(options: {
    readonly version: number;
    readonly waitMs: number;
  }): Promise<
    Result<{ readonly version: number; readonly ageMs: number }, string>
  > {
    const { version, waitMs } = options;
    try {
      const response = await this.#client.watchConfig(
        { version: BigInt(version), waitMs },
        { timeoutMs: waitMs + RESPONSE_MARGIN_MS },
      );
      const { ageMs } = response;
      if (ageMs === undefined || ageMs > MAX_VIEW_AGE_MS)
        return staleView(ageMs);
      return { ok: true, value: { version: Number(response.version), ageMs } };
    } catch (error) {
      return { ok: false, error: describeError(error) };
    }
  }

  async watchRunners(options: {
    readonly asOf: number;
    readonly waitMs: number;
  }): Promise<Result<RunnerListUpdate, string>> {
    const { waitMs } = options;
    try {
      const response = await this.#client.watchRunners(
        { asOf: BigInt(options.asOf), waitMs },
        { timeoutMs: waitMs + RESPONSE_MARGIN_MS },
      );
      const { ageMs } = response;
      if (ageMs === undefined || ageMs > MAX_VIEW_AGE_MS)
        return staleView(ageMs);
      const known = { asOf: Number(response.asOf), ageMs };
      const changes = response.entries.map(decodeRunnerEntry);
      if (!response.isList) {
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
}

function staleView(ageMs: number | undefined): Result<never, string> {
  const view =
    ageMs === undefined ? "no current view" : `a view ${ageMs} ms old`;
  return { ok: false, error: `the peer has ${view}` };
}
