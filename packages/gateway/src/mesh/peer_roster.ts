import type { Instance } from "@jujubeladder/types";
import { monotonicMs } from "@jujubeladder/utils";

/** An instance that nobody has heard of for this long is forgotten. */
const FORGET_MS = 10_000;
/** Members of this age and less are told to others. */
const TELL_MS = 5_000;

/**
 * Members in one digest. With ten digests a second 390 members are heard of
 * every three seconds, well within the time after which they are forgotten.
 */
const MEMBERS_TOLD = 16;

interface Member {
  readonly address: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly heardAtMs: number;
}

/**
 * The instances that this one knows of, by address. It starts from the seeds,
 * which may be stale, and learns the rest from peers.
 */
export class PeerRoster {
  readonly #ownAddress: string;
  readonly #seeds: readonly string[];
  readonly #members = new Map<string, Member>();
  #mostMembers = 0;
  #mostHeardOf = 0;

  constructor(ownAddress: string, seeds: readonly string[]) {
    this.#ownAddress = ownAddress;
    this.#seeds = seeds.filter((seed) => seed !== ownAddress);
  }

  /** The most instances that anybody knew of at once, with this one. */
  get mostInstances(): number {
    return Math.max(this.#mostMembers + 1, this.#mostHeardOf);
  }

  /** Takes a peer's word of how many instances there are. */
  noteKnownInstances(count: number): void {
    this.#mostHeardOf = Math.max(this.#mostHeardOf, count);
  }

  note(member: {
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
    this.#mostMembers = Math.max(this.#mostMembers, this.#members.size);
  }

  /** Peers of each region that were heard of lately. */
  countByRegion(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { region } of this.#listFresh()) {
      counts.set(region, (counts.get(region) ?? 0) + 1);
    }
    return counts;
  }

  /**
   * Some of the members heard of lately, for peers. A sample keeps digests
   * small, and as each is another one, all members reach everybody.
   */
  sampleFresh(): readonly (Omit<Member, "heardAtMs"> & {
    readonly ageMs: number;
  })[] {
    const fresh = this.#listFresh();
    if (fresh.length <= MEMBERS_TOLD) return fresh;
    const first = Math.floor(Math.random() * fresh.length);
    return [...fresh.slice(first), ...fresh.slice(0, first)].slice(
      0,
      MEMBERS_TOLD,
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
      .filter(({ ageMs }) => ageMs < TELL_MS);
  }

  find(address: string): Instance | undefined {
    return this.listInstances().find((peer) => peer.instanceId === address);
  }

  /** Instances to exchange news with; an address serves as id. */
  listInstances(): readonly Instance[] {
    const sinceMs = monotonicMs() - FORGET_MS;
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
