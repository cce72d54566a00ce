import type { RunnerLoad } from "../model/runner_load.js";
import { addLoads } from "./add_loads.js";
import { EMPTY_LOAD } from "./empty_load.js";

/** A placement shows in the loads of its runner after less than this. */
const GRANT_TTL_MS = 150;

interface Grant {
  readonly load: RunnerLoad;
  readonly atMs: number;
}

/** Placements that have been granted and may not show in the loads yet. */
export class PendingGrants {
  readonly #grants = new Map<string, readonly Grant[]>();

  add(runnerId: string, load: RunnerLoad, nowMs: number): void {
    const known = this.#listCurrent(runnerId, nowMs);
    this.#grants.set(runnerId, [...known, { load, atMs: nowMs }]);
  }

  /** What the grants of the last moments add to a runner's load. */
  find(runnerId: string, nowMs: number): RunnerLoad {
    const current = this.#listCurrent(runnerId, nowMs);
    if (current.length === 0) this.#grants.delete(runnerId);
    return current.reduce((sum, { load }) => addLoads(sum, load), EMPTY_LOAD);
  }

  #listCurrent(runnerId: string, nowMs: number): readonly Grant[] {
    return (this.#grants.get(runnerId) ?? []).filter(
      ({ atMs }) => nowMs - atMs < GRANT_TTL_MS,
    );
  }
}
