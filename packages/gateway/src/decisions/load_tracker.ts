import { hash32, monotonicMs } from "@jujubeladder/utils";
import type { LoadTable } from "../model/load_table.js";
import type { RunnerLoad } from "../model/runner_load.js";
import { addLoads } from "./add_loads.js";
import { EMPTY_LOAD } from "./empty_load.js";
import type { Placement } from "./placement.js";
import { RegionLoads } from "./region_loads.js";
import { scaleLoad } from "./scale_load.js";

/** Load reports of peers older than this are discarded. */
const PEER_LOAD_TTL_MS = 4_000;
/** Short compared to the age of reports on arrival, half a gossip interval. */
const FACTORS_TTL_MS = 50;

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
  readonly #findFleetLoad: (runnerId: string) => RunnerLoad | undefined;
  readonly #own = new Map<string, Set<Placement>>();
  /** The last report of each peer, in order of arrival. */
  readonly #peers = new Map<
    string,
    PeerLoads & { readonly receivedAtMs: number }
  >();
  readonly #regions = new Map<string, RegionLoads>();
  #factorsAtMs: number | undefined;

  /**
   * `countPeers` counts instances by region, excluding this one. `findFleetLoad`
   * returns what all of them have placed on a runner, if that is known; it goes
   * before what they report.
   */
  constructor(
    countPeers: () => ReadonlyMap<string, number>,
    findFleetLoad: (runnerId: string) => RunnerLoad | undefined = () =>
      undefined,
  ) {
    this.#countPeers = countPeers;
    this.#findFleetLoad = findFleetLoad;
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
    this.#removePeer(instanceId);
    const { region, byRunner } = loads;
    this.#peers.set(instanceId, { ...loads, receivedAtMs: monotonicMs() });
    const regionLoads = this.#regions.get(region) ?? new RegionLoads();
    this.#regions.set(region, regionLoads);
    regionLoads.add(byRunner);
    this.#factorsAtMs = undefined;
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

  /** The same in whole numbers, by the hash of the runner's id. */
  describeOwn(): LoadTable {
    return new Map(
      [...this.#own.keys()].map((runnerId) => {
        const { requests, peakTokens, unreadTokens } = this.#ownLoad(runnerId);
        const load = {
          requests,
          peakTokens: Math.round(peakTokens),
          unreadTokens: Math.round(unreadTokens),
        };
        return [hash32(runnerId), load];
      }),
    );
  }

  /** True if what all other instances have placed is known. */
  get knowsFleet(): boolean {
    return this.#findFleetLoad("") !== undefined;
  }

  /** Load of one runner at `nowMs`, which is the present. */
  getLoad(runnerId: string, nowMs = monotonicMs()): RunnerLoad {
    const fleetLoad = this.#findFleetLoad(runnerId);
    if (fleetLoad) return addLoads(this.#ownLoad(runnerId), fleetLoad);
    this.#updateFactors(nowMs);
    let load = this.#ownLoad(runnerId);
    for (const region of this.#regions.values()) {
      const reported = region.find(runnerId);
      if (reported) load = addLoads(load, scaleLoad(reported, region.factor));
    }
    return load;
  }

  // Repeated periodically because reports expire.
  #updateFactors(nowMs: number): void {
    const isCurrent =
      this.#factorsAtMs !== undefined &&
      nowMs - this.#factorsAtMs < FACTORS_TTL_MS;
    if (isCurrent) return;
    this.#factorsAtMs = nowMs;
    this.#evictExpired(nowMs - PEER_LOAD_TTL_MS);
    const counts = this.#countPeers();
    for (const [name, region] of this.#regions) {
      const peerCount = counts.get(name) ?? 0;
      region.factor = Math.max(1, peerCount / region.reportCount);
    }
  }

  #evictExpired(sinceMs: number): void {
    for (const [instanceId, { receivedAtMs }] of this.#peers) {
      if (receivedAtMs >= sinceMs) return;
      this.#removePeer(instanceId);
    }
  }

  #removePeer(instanceId: string): void {
    const report = this.#peers.get(instanceId);
    if (!report) return;
    this.#peers.delete(instanceId);
    const region = this.#regions.get(report.region);
    region?.subtract(report.byRunner);
    if (region?.reportCount === 0) this.#regions.delete(report.region);
  }

  #ownLoad(runnerId: string): RunnerLoad {
    const placements = this.#own.get(runnerId);
    if (!placements) return EMPTY_LOAD;
    let load = EMPTY_LOAD;
    for (const placement of placements) load = addLoads(load, placement.load);
    return load;
  }
}
