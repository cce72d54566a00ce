import type { Instance } from "@jujubeladder/types";
import { monotonicMs } from "@jujubeladder/utils";

/** An instance that nobody has heard of for this long is forgotten. */
const FORGET_MS = 10_000;
/** Members of this age and less are told to others. */
const TELL_MS = 5_000;

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

  constructor(ownAddress: string, seeds: readonly string[]) {
    this.#ownAddress = ownAddress;
    this.#seeds = seeds.filter((seed) => seed !== ownAddress);
  }

  /** The most instances known at once, with this one. */
  get mostInstances(): number {
    return this.#mostMembers + 1;
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

  /** Members heard of lately, for peers. */
  listFresh(): readonly (Omit<Member, "heardAtMs"> & {
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
