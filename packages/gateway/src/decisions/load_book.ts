import { monotonicMs } from "@jujubeladder/utils";
import type { RunnerLoad } from "../model/runner_load.js";
import { addLoads } from "./add_loads.js";
import { EMPTY_LOAD } from "./empty_load.js";
import type { Placement } from "./placement.js";
import { scaleLoad } from "./scale_load.js";

/** Word of a peer that is older than this says nothing any more. */
const PEER_LOAD_KEPT_MS = 4_000;
/** Peers' word is half a gossip interval old when it comes. */
const TOTALS_KEPT_MS = 50;

/** What a peer says that it has placed. */
interface PeerLoads {
  readonly region: string;
  readonly byRunner: ReadonlyMap<string, RunnerLoad>;
}

/**
 * Load by runner: what this instance has placed, exactly, and what peers say
 * that they have placed, some hundred milliseconds old. In a large fleet only
 * some peers are heard of in time; they stand for the others of their region,
 * which use the same runners.
 */
export class LoadBook {
  readonly #countPeers: () => ReadonlyMap<string, number>;
  readonly #own = new Map<string, Set<Placement>>();
  readonly #peers = new Map<
    string,
    PeerLoads & { readonly heardAtMs: number }
  >();

  #totals:
    | {
        readonly atMs: number;
        readonly byRunner: ReadonlyMap<string, RunnerLoad>;
      }
    | undefined;

  /** `countPeers` tells the instances of each region, without this one. */
  constructor(countPeers: () => ReadonlyMap<string, number>) {
    this.#countPeers = countPeers;
  }

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

  notePeer(instanceId: string, loads: PeerLoads): void {
    this.#peers.set(instanceId, { ...loads, heardAtMs: monotonicMs() });
    this.#totals = undefined;
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
    const peers = this.#peerTotals().get(runnerId) ?? EMPTY_LOAD;
    return addLoads(this.#ownLoad(runnerId), peers);
  }

  // Computed anew after some time, as old word is forgotten meanwhile.
  #peerTotals(): ReadonlyMap<string, RunnerLoad> {
    const nowMs = monotonicMs();
    if (this.#totals && nowMs - this.#totals.atMs < TOTALS_KEPT_MS) {
      return this.#totals.byRunner;
    }
    const byRunner = this.#sumPeers(nowMs - PEER_LOAD_KEPT_MS);
    this.#totals = { atMs: nowMs, byRunner };
    return byRunner;
  }

  #sumPeers(sinceMs: number): ReadonlyMap<string, RunnerLoad> {
    const heard = new Map<string, number>();
    for (const [instanceId, { region, heardAtMs }] of this.#peers) {
      if (heardAtMs < sinceMs) this.#peers.delete(instanceId);
      else heard.set(region, (heard.get(region) ?? 0) + 1);
    }
    const counts = this.#countPeers();
    const totals = new Map<string, RunnerLoad>();
    for (const { region, byRunner } of this.#peers.values()) {
      const heardCount = heard.get(region) ?? 1;
      const factor = Math.max(1, (counts.get(region) ?? 0) / heardCount);
      for (const [runnerId, load] of byRunner) {
        const total = totals.get(runnerId) ?? EMPTY_LOAD;
        totals.set(runnerId, addLoads(total, scaleLoad(load, factor)));
      }
    }
    return totals;
  }

  #ownLoad(runnerId: string): RunnerLoad {
    let load = EMPTY_LOAD;
    for (const placement of this.#own.get(runnerId) ?? []) {
      load = addLoads(load, placement.load);
    }
    return load;
  }
}
