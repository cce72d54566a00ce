import type { Client } from "@connectrpc/connect";
import type { PeerService } from "@jujubeladder/protocol";
import type { Result } from "@jujubeladder/types";
import { describeError } from "@jujubeladder/utils";
import type { RelayedRunners } from "../model/relayed_runners.js";
import type { ViewRelay } from "../model/view_relay.js";
import { decodeRunnerEntry } from "./decode_runner_entry.js";

/** A peer that has not answered by this much after its wait is given up. */
const OVERDUE_MS = 300;
/** Older word is no better than none: runners give two seconds of notice. */
const MOST_AGE_MS = 1_800;

/** Asks a peer for what it has read from the store. */
export class PeerRelay implements ViewRelay {
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
      const answer = await this.#client.watchConfig(
        { version: BigInt(version), waitMs },
        { timeoutMs: waitMs + OVERDUE_MS },
      );
      const { ageMs } = answer;
      if (ageMs === undefined || ageMs > MOST_AGE_MS) return tooOld(ageMs);
      return { ok: true, value: { version: Number(answer.version), ageMs } };
    } catch (error) {
      return { ok: false, error: describeError(error) };
    }
  }

  async watchRunners(options: {
    readonly asOf: number;
    readonly waitMs: number;
  }): Promise<Result<RelayedRunners, string>> {
    const { waitMs } = options;
    try {
      const answer = await this.#client.watchRunners(
        { asOf: BigInt(options.asOf), waitMs },
        { timeoutMs: waitMs + OVERDUE_MS },
      );
      const { ageMs } = answer;
      if (ageMs === undefined || ageMs > MOST_AGE_MS) return tooOld(ageMs);
      const known = { asOf: Number(answer.asOf), ageMs };
      const changes = answer.entries.map(decodeRunnerEntry);
      if (!answer.isList) {
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

function tooOld(ageMs: number | undefined): Result<never, string> {
  const age = ageMs === undefined ? "nothing new" : `word ${ageMs} ms old`;
  return { ok: false, error: `the peer has ${age}` };
}
