import { monotonicMs } from "@jujubeladder/utils";

const KEEP_MS = 120_000;

/** Runners that said themselves, or by peers, that they are leaving. */
export class LeavingRunners {
  readonly #notedAtMs = new Map<string, number>();

  /** True when it was not known before. */
  note(runnerId: string): boolean {
    const isNew = !this.has(runnerId);
    if (isNew) this.#notedAtMs.set(runnerId, monotonicMs());
    return isNew;
  }

  has(runnerId: string): boolean {
    const notedAtMs = this.#notedAtMs.get(runnerId);
    if (notedAtMs === undefined) return false;
    if (monotonicMs() - notedAtMs <= KEEP_MS) return true;
    this.#notedAtMs.delete(runnerId);
    return false;
  }

  list(): readonly string[] {
    return [...this.#notedAtMs.keys()].filter((id) => this.has(id));
  }
}
