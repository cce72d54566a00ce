import type { Instance } from "@jujubeladder/types";
import { monotonicMs } from "@jujubeladder/utils";
import { parseAddress } from "./parse_address.js";

/** A peer is evicted if no sign of it arrived for this long. */
const PEER_TTL_MS = 10_000;
/** Only peers heard of more recently than this go into digests. */
const MAX_SHARED_AGE_MS = 5_000;

const MAX_INSTANCES = 10_000;

/**
 * Limit on peers in one digest. At ten digests per second, an instance hears
 * of 390 peers every three seconds, well within the eviction time.
 */
const PEERS_PER_DIGEST = 16;

interface Peer {
  readonly instance: Instance;
  readonly heardAtMs: number;
}

/** A peer in a digest. */
interface SharedPeer {
  readonly address: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly ageMs: number;
}

/**
 * The known instances, by address. Starts from the seeds, which may be stale,
 * and learns the others through gossip.
 */
export class PeerRoster {
  readonly #ownAddress: string;
  readonly #seeds: ReadonlyMap<string, Instance>;
  readonly #peers = new Map<string, Peer>();
  #peakPeerCount = 0;
  #peakReportedCount = 0;

  constructor(ownAddress: string, seeds: readonly string[]) {
    this.#ownAddress = ownAddress;
    this.#seeds = new Map(
      seeds.flatMap((seed) => {
        const instance = seed === ownAddress ? undefined : toInstance(seed);
        return instance ? [[seed, instance]] : [];
      }),
    );
  }

  /**
   * The largest number of instances, this one included, that this instance or
   * any peer has known at once. Serves as the estimate of the fleet size.
   */
  get peakInstanceCount(): number {
    return Math.max(this.#peakPeerCount + 1, this.#peakReportedCount);
  }

  /**
   * False until a peer has been heard of, unless there are no seeds: the fleet
   * may then have any size.
   */
  get isSizeKnown(): boolean {
    return this.#seeds.size === 0 || this.peakInstanceCount > 1;
  }

  /**
   * Records the number of instances that a peer reports, unless no fleet is so
   * large: all peers pass the highest number on, and it never falls.
   */
  recordKnownInstances(count: number): void {
    if (count > MAX_INSTANCES) return;
    this.#peakReportedCount = Math.max(this.#peakReportedCount, count);
  }

  /**
   * Records that a peer was heard of `ageMs` ago. Returns false if its address
   * is none, so that it can't be a peer.
   */
  record(peer: SharedPeer): boolean {
    const { address, region, availabilityZone, ageMs } = peer;
    if (address === this.#ownAddress) return true;
    const heardAtMs = monotonicMs() - ageMs;
    const known = this.#peers.get(address);
    if (known && known.heardAtMs >= heardAtMs) return true;
    const isSame =
      known?.instance.region === region &&
      known.instance.availabilityZone === availabilityZone;
    const instance = isSame
      ? known.instance
      : toInstance(address, { region, availabilityZone });
    if (!instance) return false;
    this.#peers.set(address, { instance, heardAtMs });
    this.#peakPeerCount = Math.max(this.#peakPeerCount, this.#peers.size);
    return true;
  }

  /** Counts the recently heard peers of each region. */
  countByRegion(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    const sinceMs = monotonicMs() - MAX_SHARED_AGE_MS;
    for (const { instance, heardAtMs } of this.#peers.values()) {
      if (heardAtMs <= sinceMs) continue;
      const { region } = instance;
      counts.set(region, (counts.get(region) ?? 0) + 1);
    }
    return counts;
  }

  /**
   * Samples the recently heard peers for a digest. A sample keeps digests
   * small; as each is drawn anew, all peers still learn of each other.
   */
  sampleRecent(): readonly SharedPeer[] {
    const recent = this.#listRecent();
    const first =
      recent.length > PEERS_PER_DIGEST
        ? Math.floor(Math.random() * recent.length)
        : 0;
    const nowMs = monotonicMs();
    return [...recent.slice(first), ...recent.slice(0, first)]
      .slice(0, PEERS_PER_DIGEST)
      .map(({ instance, heardAtMs }) => ({
        address: instance.instanceId,
        region: instance.region,
        availabilityZone: instance.availabilityZone,
        ageMs: nowMs - heardAtMs,
      }));
  }

  #listRecent(): readonly Peer[] {
    const sinceMs = monotonicMs() - MAX_SHARED_AGE_MS;
    return [...this.#peers.values()].filter(
      ({ heardAtMs }) => heardAtMs > sinceMs,
    );
  }

  find(address: string): Instance | undefined {
    this.#evictOld();
    return this.#peers.get(address)?.instance ?? this.#seeds.get(address);
  }

  /** Lists the instances to gossip with; an address serves as id. */
  listInstances(): readonly Instance[] {
    this.#evictOld();
    const unheard = [...this.#seeds.values()].filter(
      ({ instanceId }) => !this.#peers.has(instanceId),
    );
    return [
      ...[...this.#peers.values()].map(({ instance }) => instance),
      ...unheard,
    ];
  }

  #evictOld(): void {
    const sinceMs = monotonicMs() - PEER_TTL_MS;
    for (const [address, { heardAtMs }] of this.#peers) {
      if (heardAtMs < sinceMs) this.#peers.delete(address);
    }
  }
}

function toInstance(
  address: string,
  location: Pick<Instance, "region" | "availabilityZone"> = {
    region: "",
    availabilityZone: "",
  },
): Instance | undefined {
  const parsed = parseAddress(address);
  if (!parsed) return undefined;
  return {
    instanceId: address,
    host: parsed.host,
    peerPort: parsed.port,
    ...location,
    state: "live",
  };
}
