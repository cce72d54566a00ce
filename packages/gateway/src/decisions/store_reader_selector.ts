import {
  monotonicMs,
  rankByRendezvous,
  RendezvousOrder,
} from "@jujubeladder/utils";

/** Each region has one store reader per this many instances. */
const INSTANCES_PER_READER = 16;
/** How long a failed reader is not chosen again. */
const FAILURE_COOLDOWN_MS = 3_000;

/**
 * Chooses the peer that reads the metadata store on behalf of this instance.
 * Store reads are billed and limited across the fleet, so only a few instances
 * of each region read and the others ask them. All instances determine the
 * same readers by rendezvous hashing; where their views of the membership
 * differ, some instance reads the store unnecessarily.
 */
export class StoreReaderSelector {
  readonly #own: string;
  readonly #region: string;
  readonly #listPeers: () => readonly {
    readonly instanceId: string;
    readonly region: string;
  }[];
  readonly #regionOrder: RendezvousOrder;
  readonly #ownOrder: RendezvousOrder;
  readonly #regionOrders = new Map<string, RendezvousOrder>();
  readonly #failedAtMs = new Map<string, number>();

  constructor(
    own: { readonly instanceId: string; readonly region: string },
    listPeers: () => readonly {
      readonly instanceId: string;
      readonly region: string;
    }[],
  ) {
    this.#own = own.instanceId;
    this.#region = own.region;
    this.#listPeers = listPeers;
    this.#regionOrder = new RendezvousOrder(own.region);
    this.#ownOrder = new RendezvousOrder(own.instanceId);
  }

  /** The peer to ask; undefined if this instance reads the store itself. */
  pick(): string | undefined {
    const peers = this.#listPeers()
      .filter(({ region }) => region === this.#region)
      .map(({ instanceId }) => instanceId);
    const all = [this.#own, ...peers];
    const usable = all.filter((id) => !this.#hasFailed(id));
    const readerCount = Math.ceil(all.length / INSTANCES_PER_READER);
    const readers = this.#regionOrder.rank(usable).slice(0, readerCount);
    if (readers.includes(this.#own)) return undefined;
    return this.#ownOrder.rank(readers)[0];
  }

  /** The readers of all regions but this instance, as all of them are seen here. */
  listReaders(): readonly string[] {
    const regions = new Map<string, string[]>([[this.#region, [this.#own]]]);
    for (const { instanceId, region } of this.#listPeers()) {
      const known = regions.get(region);
      if (known) known.push(instanceId);
      else regions.set(region, [instanceId]);
    }
    return [...regions]
      .flatMap(([region, ids]) => {
        const count = Math.ceil(ids.length / INSTANCES_PER_READER);
        return this.#orderOf(region).rank(ids).slice(0, count);
      })
      .filter((instanceId) => instanceId !== this.#own);
  }

  /**
   * The instance at which all placements on a runner meet: one of the readers of
   * its region, so that the others are near; undefined if there are none.
   */
  pickArbiter(runner: {
    readonly runnerId: string;
    readonly region: string;
  }): string | undefined {
    const { runnerId, region } = runner;
    const ids = this.#listPeers()
      .filter((peer) => peer.region === region)
      .map(({ instanceId }) => instanceId);
    if (region === this.#region) ids.unshift(this.#own);
    const count = Math.ceil(ids.length / INSTANCES_PER_READER);
    const readers = this.#orderOf(region).rank(ids).slice(0, count);
    return rankByRendezvous(runnerId, readers)[0];
  }

  /** The peer did not respond, or its own view is too old. */
  recordFailure(instanceId: string): void {
    this.#failedAtMs.set(instanceId, monotonicMs());
  }

  /**
   * This instance can't read the store; a peer may be able to. It counts of a
   * reader only: after an outage that all have noticed, all would ask each other
   * and none would read.
   */
  recordOwnFailure(): void {
    if (this.pick() === undefined) this.recordFailure(this.#own);
  }

  #orderOf(region: string): RendezvousOrder {
    const order = this.#regionOrders.get(region) ?? new RendezvousOrder(region);
    this.#regionOrders.set(region, order);
    return order;
  }

  #hasFailed(instanceId: string): boolean {
    const failedAtMs = this.#failedAtMs.get(instanceId);
    if (failedAtMs === undefined) return false;
    if (monotonicMs() - failedAtMs < FAILURE_COOLDOWN_MS) return true;
    this.#failedAtMs.delete(instanceId);
    return false;
  }
}
