import { monotonicMs } from "@jujubeladder/utils";
import type { RunnerLoad } from "../model/runner_load.js";
import { addLoads } from "./add_loads.js";
import { EMPTY_LOAD } from "./empty_load.js";
import type { Placement } from "./placement.js";

/** Word of a peer that is older than this says nothing any more. */
const PEER_LOAD_KEPT_MS = 3_000;

interface PeerLoads {
  readonly heardAtMs: number;
  readonly byRunner: ReadonlyMap<string, RunnerLoad>;
}

/**
 * Load by runner: what this instance has placed, exactly, and what peers say
 * that they have placed, some hundred milliseconds old.
 */
export class LoadBook {
  readonly #own = new Map<string, Set<Placement>>();
  readonly #peers = new Map<string, PeerLoads>();

  place(placement: Placement): void {
    const placements = this.#own.get(placement.runnerId) ?? new Set();
    placements.add(placement);
    this.#own.set(placement.runnerId, placements);
  }

  release(placement: Placement): void {
    const placements = this.#own.get(placement.runnerId);
    placements?.delete(placement);
    if (placements?.size === 0) this.#own.delete(placement.runnerId);
  }

  notePeer(
    instanceId: string,
    byRunner: ReadonlyMap<string, RunnerLoad>,
  ): void {
    this.#peers.set(instanceId, { heardAtMs: monotonicMs(), byRunner });
  }

  /** Load that this instance has placed, by runner. */
  listOwn(): ReadonlyMap<string, RunnerLoad> {
    return new Map(
      [...this.#own.keys()].map((runnerId) => [
        runnerId,
        this.#ownLoad(runnerId),
      ]),
    );
  }

  find(runnerId: string): RunnerLoad {
    let load = this.#ownLoad(runnerId);
    const sinceMs = monotonicMs() - PEER_LOAD_KEPT_MS;
    for (const [instanceId, peer] of this.#peers) {
      if (peer.heardAtMs < sinceMs) {
        this.#peers.delete(instanceId);
        continue;
      }
      load = addLoads(load, peer.byRunner.get(runnerId) ?? EMPTY_LOAD);
    }
    return load;
  }

  #ownLoad(runnerId: string): RunnerLoad {
    let load = EMPTY_LOAD;
    for (const placement of this.#own.get(runnerId) ?? []) {
      load = addLoads(load, placement.load);
    }
    return load;
  }
}
