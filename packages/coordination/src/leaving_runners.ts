import { monotonicMs } from "@jujubeladder/utils";

const RETENTION_MS = 120_000;

/** Runners known to be leaving, from the runners themselves or from gossip. */
export class LeavingRunners {
  readonly #recordedAtMs = new Map<string, number>();

  /** Records a leaving runner; returns true if it was not known before. */
  add(runnerId: string): boolean {
    const isNew = !this.has(runnerId);
    if (isNew) this.#recordedAtMs.set(runnerId, monotonicMs());
    return isNew;
  }

  has(runnerId: string): boolean {
    const recordedAtMs = this.#recordedAtMs.get(runnerId);
    if (recordedAtMs === undefined) return false;
    if (monotonicMs() - recordedAtMs <= RETENTION_MS) return true;
    this.#recordedAtMs.delete(runnerId);
    return false;
  }

  list(): readonly string[] {
    return [...this.#recordedAtMs.keys()].filter((id) => this.has(id));
  }
}
