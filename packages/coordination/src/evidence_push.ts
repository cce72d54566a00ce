import { PacedAction } from "./paced_action.js";
import { shuffle } from "./shuffle.js";

const FANOUT = 4;
/** Up to this many peers, the instance whose news it is reaches them all. */
const SMALL_FLEET_MAX_PEERS = 8;
/** For peers of a small fleet that cannot be reached from that instance. */
const SMALL_FLEET_RELAY_FANOUT = 2;
/** Bounds the cost of evidence that keeps changing. */
const PAUSE_MS = 100;

/**
 * Passes news on to a few random peers. As each peer to which it is new does the
 * same once, the cost per instance does not grow with the fleet. The few that
 * are missed learn it from the next regular gossip.
 */
export class EvidencePush {
  readonly #listPeers: () => readonly string[];
  readonly #exchange: (instanceId: string) => void;
  readonly #random: () => number;
  readonly #pushes = new PacedAction(() => {
    this.#push();
  }, PAUSE_MS);
  #hasOwnNews = false;

  constructor(options: {
    readonly listPeers: () => readonly string[];
    readonly exchange: (instanceId: string) => void;
    readonly random: () => number;
  }) {
    this.#listPeers = options.listPeers;
    this.#exchange = options.exchange;
    this.#random = options.random;
  }

  /** Spreads news of this instance. */
  spread(): void {
    this.#hasOwnNews = true;
    this.#pushes.request();
  }

  /** Passes a peer's news on. */
  relay(): void {
    this.#pushes.request();
  }

  #push(): void {
    const peers = shuffle(this.#listPeers(), this.#random);
    for (const instanceId of peers.slice(0, this.#fanout(peers.length))) {
      this.#exchange(instanceId);
    }
    this.#hasOwnNews = false;
  }

  #fanout(peerCount: number): number {
    if (peerCount > SMALL_FLEET_MAX_PEERS) return FANOUT;
    return this.#hasOwnNews ? peerCount : SMALL_FLEET_RELAY_FANOUT;
  }
}
