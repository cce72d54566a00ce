import type { PeerIdentity } from "@jujubeladder/types";
import { monotonicMs } from "@jujubeladder/utils";

const MAX_CHAIN_LENGTH = 64;

interface Succession {
  readonly successor: PeerIdentity;
  readonly recordedAtMs: number;
}

/** Successors of instances that have left, known from handoffs and gossip. */
export class Successions {
  readonly #retentionMs: number;
  readonly #byIncarnation = new Map<string, Succession>();

  constructor(retentionMs: number) {
    this.#retentionMs = retentionMs;
  }

  /** Records a succession; the first one recorded is final. */
  record(fromIncarnation: string, successor: PeerIdentity, ageMs = 0): void {
    if (this.#byIncarnation.has(fromIncarnation)) return;
    const recordedAtMs = monotonicMs() - ageMs;
    this.#byIncarnation.set(fromIncarnation, {
      successor,
      recordedAtMs,
    });
  }

  /** Follows the chain of successors of an identity to its current end. */
  resolve(identity: PeerIdentity): PeerIdentity {
    let current = identity;
    for (let step = 0; step < MAX_CHAIN_LENGTH; step += 1) {
      const next = this.#byIncarnation.get(current.incarnation);
      if (!next) return current;
      current = next.successor;
    }
    return current;
  }

  list(): readonly {
    readonly fromIncarnation: string;
    readonly successor: PeerIdentity;
    readonly ageMs: number;
  }[] {
    const nowMs = monotonicMs();
    return [...this.#byIncarnation].flatMap(([fromIncarnation, entry]) => {
      const ageMs = nowMs - entry.recordedAtMs;
      if (ageMs > this.#retentionMs) {
        this.#byIncarnation.delete(fromIncarnation);
        return [];
      }
      return [{ fromIncarnation, successor: entry.successor, ageMs }];
    });
  }
}
