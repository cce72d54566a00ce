import { monotonicMs, rankByRendezvous } from "@jujubeladder/utils";

/** Instances that read the store for others: one for so many of a region. */
const INSTANCES_PER_READER = 16;
/** A reader that failed is passed by for this long. */
const FAILED_PAUSE_MS = 3_000;

/**
 * Chooses who reads the store for this instance. Reads are priced and bounded
 * over the whole fleet, so that in each region only a few instances read, the
 * same ones by everybody's reckoning, and the others ask them. Views of who
 * is there may differ: then somebody reads once more than needed.
 */
export class RelayChoice {
  readonly #own: string;
  readonly #region: string;
  readonly #listPeers: () => readonly {
    readonly instanceId: string;
    readonly region: string;
  }[];
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
  }

  /** The peer to ask; undefined when this instance reads by itself. */
  pick(): string | undefined {
    const peers = this.#listPeers()
      .filter(({ region }) => region === this.#region)
      .map(({ instanceId }) => instanceId);
    const all = [this.#own, ...peers];
    const usable = all.filter((id) => !this.#hasFailed(id));
    const readerCount = Math.ceil(all.length / INSTANCES_PER_READER);
    const readers = rankByRendezvous(this.#region, usable).slice(
      0,
      readerCount,
    );
    if (readers.includes(this.#own)) return undefined;
    return rankByRendezvous(this.#own, readers)[0];
  }

  /** The peer did not answer, or knows nothing new enough itself. */
  noteFailure(instanceId: string): void {
    this.#failedAtMs.set(instanceId, monotonicMs());
  }

  /** This instance can't read the store; a peer may still be able to. */
  noteOwnFailure(): void {
    this.noteFailure(this.#own);
  }

  #hasFailed(instanceId: string): boolean {
    const failedAtMs = this.#failedAtMs.get(instanceId);
    if (failedAtMs === undefined) return false;
    if (monotonicMs() - failedAtMs < FAILED_PAUSE_MS) return true;
    this.#failedAtMs.delete(instanceId);
    return false;
  }
}
