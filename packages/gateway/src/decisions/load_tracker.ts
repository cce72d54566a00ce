import { monotonicMs } from "@jujubeladder/utils";
import type { RunnerLoad } from "../model/runner_load.js";
import { addLoads } from "./add_loads.js";
import { EMPTY_LOAD } from "./empty_load.js";
import type { Placement } from "./placement.js";
import { scaleLoad } from "./scale_load.js";

/** Load reports of peers older than this are discarded. */
const PEER_LOAD_TTL_MS = 4_000;
/** Short compared to the age of reports on arrival, half a gossip interval. */
const TOTALS_TTL_MS = 50;

/** Load that a peer reports having placed. */
interface PeerLoads {
  readonly region: string;
  readonly byRunner: ReadonlyMap<string, RunnerLoad>;
}

/**
 * Load by runner: the exact load placed by this instance plus the load that
 * peers report, which is a few hundred milliseconds old. In a large fleet only
 * some peers report in time; their load is extrapolated to the other peers of
 * their region, which use the same runners.
 */
export class LoadTracker {
  readonly #countPeers: () => ReadonlyMap<string, number>;
  readonly #own = new Map<string, Set<Placement>>();
  readonly #peers = new Map<
    string,
    PeerLoads & { readonly receivedAtMs: number }
  >();

  #totals:
    | {
        readonly atMs: number;
        readonly byRunner: ReadonlyMap<string, RunnerLoad>;
      }
    | undefined;

  /** `countPeers` counts instances by region, excluding this one. */
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

  recordPeer(instanceId: string, loads: PeerLoads): void {
    this.#peers.set(instanceId, { ...loads, receivedAtMs: monotonicMs() });
    this.#totals = undefined;
  }

  /** Load placed by this instance, by runner. */
  listOwn(): ReadonlyMap<string, RunnerLoad> {
    return new Map(
      [...this.#own.keys()].map((runnerId) => [
        runnerId,
        this.#ownLoad(runnerId),
      ]),
    );
  }

  getLoad(runnerId: string): RunnerLoad {
    const peers = this.#peerTotals().get(runnerId) ?? EMPTY_LOAD;
    return addLoads(this.#ownLoad(runnerId), peers);
  }

  // Recomputed periodically because reports expire.
  #peerTotals(): ReadonlyMap<string, RunnerLoad> {
    const nowMs = monotonicMs();
    if (this.#totals && nowMs - this.#totals.atMs < TOTALS_TTL_MS) {
      return this.#totals.byRunner;
    }
    const byRunner = this.#sumPeers(nowMs - PEER_LOAD_TTL_MS);
    this.#totals = { atMs: nowMs, byRunner };
    return byRunner;
  }

  #sumPeers(sinceMs: number): ReadonlyMap<string, RunnerLoad> {
    const reporting = new Map<string, number>();
    for (const [instanceId, { region, receivedAtMs }] of this.#peers) {
      if (receivedAtMs < sinceMs) this.#peers.delete(instanceId);
      else reporting.set(region, (reporting.get(region) ?? 0) + 1);
    }
    const counts = this.#countPeers();
    const totals = new Map<string, RunnerLoad>();
    for (const { region, byRunner } of this.#peers.values()) {
      const reportingCount = reporting.get(region) ?? 1;
      const factor = Math.max(1, (counts.get(region) ?? 0) / reportingCount);
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
