import { rankByRendezvous } from "@jujubeladder/utils";

const TURN_MS = 1_000;
const PLACEMENT_WINDOW_MS = 500;

/**
 * Gives the turn to place on a heavily loaded runner to one instance at a time.
 * All instances see the same delayed load reports, so without turns each would
 * claim the same free memory. A turn's owner is derived from the wall clock and
 * the instance list, without coordination. Nothing is placed in the second half
 * of a turn, so that the next load report can include the first half.
 */
export class PlacementRotation {
  #ownId = "";
  #instanceIds: readonly string[] = [];
  #turn = -1;
  readonly #owners = new Map<string, string | undefined>();

  /** Sets the instances, including this one, that share the runners. */
  setInstances(ownId: string, instanceIds: readonly string[]): void {
    this.#ownId = ownId;
    if (instanceIds.join() === this.#instanceIds.join()) return;
    this.#instanceIds = instanceIds;
    this.#owners.clear();
  }

  /** True while it is this instance's turn to place on the runner. */
  hasTurn(runnerId: string, wallClockMs: number): boolean {
    if (this.#instanceIds.length < 2) return true;
    if (wallClockMs % TURN_MS >= PLACEMENT_WINDOW_MS) return false;
    const turn = Math.floor(wallClockMs / TURN_MS);
    if (turn !== this.#turn) this.#owners.clear();
    this.#turn = turn;
    if (!this.#owners.has(runnerId)) {
      const key = `${runnerId}/${turn}`;
      const [owner] = rankByRendezvous(key, this.#instanceIds);
      this.#owners.set(runnerId, owner);
    }
    return this.#owners.get(runnerId) === this.#ownId;
  }
}
