import { rankByRendezvous } from "@jujubeladder/utils";

const TURN_MS = 1_000;
const USABLE_MS = 500;

/**
 * Whose turn a nearly full runner is. All instances see the same late
 * reports, so without turns each of them would fill the same gap. A turn
 * follows from the clock and the instance list alone; its second half is
 * left for the next report to show what was placed.
 */
export class TurnTable {
  #ownId = "";
  #instanceIds: readonly string[] = [];
  #turn = -1;
  readonly #owners = new Map<string, string | undefined>();

  /** Sets the instances that place on the same runners. */
  setInstances(ownId: string, instanceIds: readonly string[]): void {
    this.#ownId = ownId;
    if (instanceIds.join() === this.#instanceIds.join()) return;
    this.#instanceIds = instanceIds;
    this.#owners.clear();
  }

  /** True while this instance may fill the runner. */
  isOwn(runnerId: string, wallClockMs: number): boolean {
    if (this.#instanceIds.length < 2) return true;
    if (wallClockMs % TURN_MS >= USABLE_MS) return false;
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
