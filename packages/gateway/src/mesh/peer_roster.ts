import type { Instance } from "@jujubeladder/types";
import { monotonicMs } from "@jujubeladder/utils";

/** A member is evicted if no sign of it arrived for this long. */
const MEMBER_TTL_MS = 10_000;
/** Only members heard of more recently than this go into digests. */
const MAX_SHARED_AGE_MS = 5_000;

/**
 * Limit on members in one digest. At ten digests per second, an instance hears
 * of 390 members every three seconds, well within the eviction time.
 */
const MEMBERS_PER_DIGEST = 16;

interface Member {
  readonly address: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly heardAtMs: number;
}

/**
 * The known instances, by address. Starts from the seeds, which may be stale,
 * and learns the other members through gossip.
 */
export class PeerRoster {
  readonly #ownAddress: string;
  readonly #seeds: readonly string[];
  readonly #members = new Map<string, Member>();
  #peakMembers = 0;
  #peakReported = 0;

  constructor(ownAddress: string, seeds: readonly string[]) {
    this.#ownAddress = ownAddress;
    this.#seeds = seeds.filter((seed) => seed !== ownAddress);
  }

  /**
   * The largest number of instances, this one included, that this instance or
   * any peer has known at once. Serves as the estimate of the fleet size.
   */
  get peakInstanceCount(): number {
    return Math.max(this.#peakMembers + 1, this.#peakReported);
  }

  /** Records the number of instances that a peer reports. */
  recordKnownInstances(count: number): void {
    this.#peakReported = Math.max(this.#peakReported, count);
  }

  /** Records that a member was heard of `ageMs` ago. */
  record(member: {
    readonly address: string;
    readonly region: string;
    readonly availabilityZone: string;
    readonly ageMs: number;
  }): void {
    if (member.address === this.#ownAddress) return;
    const heardAtMs = monotonicMs() - member.ageMs;
    const known = this.#members.get(member.address);
    if (known && known.heardAtMs >= heardAtMs) return;
    const { address, region, availabilityZone } = member;
    this.#members.set(address, {
      address,
      region,
      availabilityZone,
      heardAtMs,
    });
    this.#peakMembers = Math.max(this.#peakMembers, this.#members.size);
  }

  /** Counts the recently heard members of each region. */
  countByRegion(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { region } of this.#listFresh()) {
      counts.set(region, (counts.get(region) ?? 0) + 1);
    }
    return counts;
  }

  /**
   * Samples the recently heard members for a digest. A sample keeps digests
   * small; as each is drawn anew, every member still reaches all peers.
   */
  sampleFresh(): readonly (Omit<Member, "heardAtMs"> & {
    readonly ageMs: number;
  })[] {
    const fresh = this.#listFresh();
    if (fresh.length <= MEMBERS_PER_DIGEST) return fresh;
    const first = Math.floor(Math.random() * fresh.length);
    return [...fresh.slice(first), ...fresh.slice(0, first)].slice(
      0,
      MEMBERS_PER_DIGEST,
    );
  }

  #listFresh(): readonly (Omit<Member, "heardAtMs"> & {
    readonly ageMs: number;
  })[] {
    const nowMs = monotonicMs();
    return [...this.#members.values()]
      .map(({ heardAtMs, ...member }) => ({
        ...member,
        ageMs: nowMs - heardAtMs,
      }))
      .filter(({ ageMs }) => ageMs < MAX_SHARED_AGE_MS);
  }

  find(address: string): Instance | undefined {
    return this.listInstances().find((peer) => peer.instanceId === address);
  }

  /** Lists the instances to gossip with; an address serves as id. */
  listInstances(): readonly Instance[] {
    const sinceMs = monotonicMs() - MEMBER_TTL_MS;
    for (const [address, { heardAtMs }] of this.#members) {
      if (heardAtMs < sinceMs) this.#members.delete(address);
    }
    const seeds = this.#seeds.filter((seed) => !this.#members.has(seed));
    return [
      ...[...this.#members.values()].map((m) => toInstance(m.address, m)),
      ...seeds.map((seed) => toInstance(seed)),
    ];
  }
}

function toInstance(
  address: string,
  member?: Pick<Member, "region" | "availabilityZone">,
): Instance {
  const colon = address.lastIndexOf(":");
  return {
    instanceId: address,
    host: address.slice(0, colon),
    peerPort: Number(address.slice(colon + 1)),
    region: member?.region ?? "",
    availabilityZone: member?.availabilityZone ?? "",
    state: "live",
  };
}
