import type { Instance } from "@jujubeladder/types";
import { monotonicMs } from "@jujubeladder/utils";

/** A peer is evicted if no sign of it arrived for this long. */
const PEER_TTL_MS = 10_000;
/** Only peers heard of more recently than this go into digests. */
const MAX_SHARED_AGE_MS = 5_000;

/**
 * Limit on peers in one digest. At ten digests per second, an instance hears
 * of 390 peers every three seconds, well within the eviction time.
 */
const PEERS_PER_DIGEST = 16;

interface Peer {
  readonly address: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly heardAtMs: number;
}

/**
 * The known instances, by address. Starts from the seeds, which may be stale,
 * and learns the others through gossip.
 */
export class PeerRoster {
  readonly #ownAddress: string;
  readonly #seeds: readonly string[];
  readonly #peers = new Map<string, Peer>();
  #peakPeerCount = 0;
  #peakReportedCount = 0;

  constructor(ownAddress: string, seeds: readonly string[]) {
    this.#ownAddress = ownAddress;
    this.#seeds = seeds.filter((seed) => seed !== ownAddress);
  }

  /**
   * The largest number of instances, this one included, that this instance or
   * any peer has known at once. Serves as the estimate of the fleet size.
   */
  get peakInstanceCount(): number {
    return Math.max(this.#peakPeerCount + 1, this.#peakReportedCount);
  }

  /** Records the number of instances that a peer reports. */
  recordKnownInstances(count: number): void {
    this.#peakReportedCount = Math.max(this.#peakReportedCount, count);
  }

  /** Records that a peer was heard of `ageMs` ago. */
  record(peer: {
    readonly address: string;
    readonly region: string;
    readonly availabilityZone: string;
    readonly ageMs: number;
  }): void {
    if (peer.address === this.#ownAddress) return;
    const heardAtMs = monotonicMs() - peer.ageMs;
    const known = this.#peers.get(peer.address);
    if (known && known.heardAtMs >= heardAtMs) return;
    const { address, region, availabilityZone } = peer;
    this.#peers.set(address, {
      address,
      region,
      availabilityZone,
      heardAtMs,
    });
    this.#peakPeerCount = Math.max(this.#peakPeerCount, this.#peers.size);
  }

  /** Counts the recently heard peers of each region. */
  countByRegion(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    const sinceMs = monotonicMs() - MAX_SHARED_AGE_MS;
    for (const { region, heardAtMs } of this.#peers.values()) {
      if (heardAtMs <= sinceMs) continue;
      counts.set(region, (counts.get(region) ?? 0) + 1);
    }
    return counts;
  }

  /**
   * Samples the recently heard peers for a digest. A sample keeps digests
   * small; as each is drawn anew, all peers still learn of each other.
   */
  sampleRecent(): readonly (Omit<Peer, "heardAtMs"> & {
    readonly ageMs: number;
  })[] {
    const recent = this.#listRecent();
    if (recent.length <= PEERS_PER_DIGEST) return recent;
    const first = Math.floor(Math.random() * recent.length);
    return [...recent.slice(first), ...recent.slice(0, first)].slice(
      0,
      PEERS_PER_DIGEST,
    );
  }

  #listRecent(): readonly (Omit<Peer, "heardAtMs"> & {
    readonly ageMs: number;
  })[] {
    const nowMs = monotonicMs();
    return [...this.#peers.values()]
      .map(({ heardAtMs, ...peer }) => ({
        ...peer,
        ageMs: nowMs - heardAtMs,
      }))
      .filter(({ ageMs }) => ageMs < MAX_SHARED_AGE_MS);
  }

  find(address: string): Instance | undefined {
    return this.listInstances().find((peer) => peer.instanceId === address);
  }

  /** Lists the instances to gossip with; an address serves as id. */
  listInstances(): readonly Instance[] {
    const sinceMs = monotonicMs() - PEER_TTL_MS;
    for (const [address, { heardAtMs }] of this.#peers) {
      if (heardAtMs < sinceMs) this.#peers.delete(address);
    }
    const seeds = this.#seeds.filter((seed) => !this.#peers.has(seed));
    return [
      ...[...this.#peers.values()].map((peer) =>
        toInstance(peer.address, peer),
      ),
      ...seeds.map((seed) => toInstance(seed)),
    ];
  }
}

function toInstance(
  address: string,
  peer?: Pick<Peer, "region" | "availabilityZone">,
): Instance {
  const colon = address.lastIndexOf(":");
  return {
    instanceId: address,
    host: address.slice(0, colon),
    peerPort: Number(address.slice(colon + 1)),
    region: peer?.region ?? "",
    availabilityZone: peer?.availabilityZone ?? "",
    state: "live",
  };
}
