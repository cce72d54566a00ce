import { fromBinary, toBinary } from "@bufbuild/protobuf";
import { Logger } from "@jujubeladder/logger";
import { DigestSchema, type Digest } from "@jujubeladder/protocol";
import type { Instance } from "@jujubeladder/types";
import { monotonicMs, sleep } from "@jujubeladder/utils";
import type { GossipPace } from "../gossip_pace.js";
import { LeavingRunners } from "../leaving_runners.js";
import { Membership } from "../membership.js";
import type { PeerDirectory } from "../peer_directory.js";
import { Quarantine } from "../quarantine.js";
import { Successions } from "../successions.js";
import { KnownParts } from "./known_parts.js";
import { seededRandom } from "./seeded_random.js";

const ANSWER_TIMEOUT_MS = 400;
const POLL_INTERVAL_MS = 5;
const QUARANTINE_THRESHOLD = 3;

interface Member {
  readonly instance: Instance;
  readonly membership: Membership;
  readonly parts: KnownParts;
  readonly quarantine: Quarantine;
}

interface FleetOptions {
  readonly size: number;
  readonly seed: number;
  /** One way. */
  readonly delayMs: number;
  readonly lossShare?: number;
  /** The last so many instances are listed, but do not answer. */
  readonly goneCount?: number;
  readonly pace?: GossipPace;
}

/** Memberships whose digests travel in memory, late and not always. */
export class FakeFleet {
  readonly members: readonly Member[];
  exchangeCount = 0;
  callCount = 0;
  sentBytes = 0;
  readonly #options: FleetOptions;
  readonly #random: () => number;

  constructor(options: FleetOptions) {
    this.#options = options;
    this.#random = seededRandom(options.seed);
    const instances = Array.from({ length: options.size }, (_, index) =>
      toInstance(index),
    );
    this.members = instances.map((instance) =>
      this.#createMember(instance, instances),
    );
  }

  get present(): readonly Member[] {
    const { size, goneCount = 0 } = this.#options;
    return this.members.slice(0, size - goneCount);
  }

  /** Records a loss at one instance, which spreads it. */
  lose(index: number, partId: string): void {
    const member = this.members[index];
    member?.parts.add(partId, `engine-${partId}@1`);
    member?.membership.spread();
  }

  /** Records a loss of a request at one instance, which reports it. */
  loseWith(index: number, fingerprint: string, incarnationId: string): void {
    const member = this.members[index];
    member?.quarantine.recordLosses(fingerprint, [incarnationId]);
    member?.membership.reportSuspicion(fingerprint);
  }

  /** Waits until all present instances refuse a request; returns the time. */
  async waitUntilRefused(
    fingerprint: string,
    limitMs: number,
  ): Promise<number> {
    const startedAtMs = monotonicMs();
    const refuses = ({ quarantine }: Member) =>
      quarantine.status(fingerprint).type === "quarantined";
    while (!this.present.every(refuses)) {
      if (monotonicMs() - startedAtMs > limitMs) return Infinity;
      await sleep(POLL_INTERVAL_MS);
    }
    return monotonicMs() - startedAtMs;
  }

  /** Waits until all present instances know the part; returns the time. */
  async waitUntilKnown(partId: string, limitMs: number): Promise<number> {
    const startedAtMs = monotonicMs();
    while (!this.present.every(({ parts }) => parts.has(partId))) {
      if (monotonicMs() - startedAtMs > limitMs) return Infinity;
      await sleep(POLL_INTERVAL_MS);
    }
    return monotonicMs() - startedAtMs;
  }

  #createMember(instance: Instance, instances: readonly Instance[]): Member {
    const { pace } = this.#options;
    const parts = new KnownParts();
    const quarantine = new Quarantine(QUARANTINE_THRESHOLD);
    const membership = new Membership(
      {
        identity: {
          instanceId: instance.instanceId,
          incarnation: `${instance.instanceId}-1`,
        },
        availabilityZone: "r1-a",
        region: "r1",
        leavingRunners: new LeavingRunners(),
        quarantine,
        partEvidence: parts,
        successions: new Successions(1_000),
        revision: () => 0,
        documentHash: () => "",
        offerDocument: () => undefined,
      },
      {
        directory: {
          find: (id: string) => this.#createClient(id),
        } as unknown as PeerDirectory,
        listInstances: () => instances,
        logger: new Logger({}),
        random: this.#random,
        ...(pace ? { pace: () => pace } : {}),
        datagrams: {
          exchangeDigests: async ({ port }, digest) =>
            await this.#exchange(port, digest),
        },
      },
    );
    return { instance, membership, parts, quarantine };
  }

  async #exchange(port: number, digest: Digest): Promise<Digest | undefined> {
    this.exchangeCount += 1;
    const answer = await this.#deliver(port, digest);
    if (!answer || this.#isLost()) {
      await sleep(ANSWER_TIMEOUT_MS);
      return undefined;
    }
    return answer;
  }

  async #deliver(port: number, digest: Digest): Promise<Digest | undefined> {
    const question = this.#copy(digest);
    await sleep(this.#options.delayMs);
    const peer = this.present[port];
    if (!peer || this.#isLost()) return undefined;
    const answer = this.#copy(peer.membership.handleDigest(question));
    await sleep(this.#options.delayMs);
    return answer;
  }

  #createClient(instanceId: string): unknown {
    const peer = this.present.find(
      ({ instance }) => instance.instanceId === instanceId,
    );
    return {
      gossip: async ({ digest }: { readonly digest: Digest }) => {
        this.callCount += 1;
        await sleep(this.#options.delayMs);
        if (!peer) throw new Error("no such peer");
        return { digest: peer.membership.handleDigest(digest) };
      },
    };
  }

  #isLost(): boolean {
    return this.#random() < (this.#options.lossShare ?? 0);
  }

  #copy(digest: Digest): Digest {
    const bytes = toBinary(DigestSchema, digest);
    this.sentBytes += bytes.length;
    return fromBinary(DigestSchema, bytes);
  }
}

// The port is the instance's index.
function toInstance(index: number): Instance {
  return {
    instanceId: `instance-${index}`,
    host: "127.0.0.1",
    peerPort: index,
    region: "r1",
    availabilityZone: "r1-a",
    state: "live",
  };
}
