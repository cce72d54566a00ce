import type { PeerIdentity } from "@jujubeladder/types";
import { monotonicMs } from "@jujubeladder/utils";

const MAX_CHAIN = 64;

interface Succession {
  readonly successor: PeerIdentity;
  readonly notedAtMs: number;
}

/** Who took over from instances that have left, as told by gossip. */
export class Successions {
  readonly #keepMs: number;
  readonly #byIncarnation = new Map<string, Succession>();

  constructor(keepMs: number) {
    this.#keepMs = keepMs;
  }

  /** Notes a succession; the first one heard stands. */
  note(fromIncarnation: string, successor: PeerIdentity, ageMs = 0): void {
    if (this.#byIncarnation.has(fromIncarnation)) return;
    const notedAtMs = monotonicMs() - ageMs;
    this.#byIncarnation.set(fromIncarnation, { successor, notedAtMs });
  }

  /** Follows successions to the one that answers for an identity now. */
  resolve(identity: PeerIdentity): PeerIdentity {
    let current = identity;
    for (let step = 0; step < MAX_CHAIN; step += 1) {
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
      const ageMs = nowMs - entry.notedAtMs;
      if (ageMs > this.#keepMs) {
        this.#byIncarnation.delete(fromIncarnation);
        return [];
      }
      return [{ fromIncarnation, successor: entry.successor, ageMs }];
    });
  }
}
