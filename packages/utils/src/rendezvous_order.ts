import { rankByRendezvous } from "./rank_by_rendezvous.js";

/** Ranks ids for one key; ranks again only if the ids have changed. */
export class RendezvousOrder {
  readonly #key: string;
  #ids: readonly string[] = [];
  #ranked: readonly string[] = [];

  constructor(key: string) {
    this.#key = key;
  }

  rank(ids: readonly string[]): readonly string[] {
    const isSame =
      ids.length === this.#ids.length &&
      ids.every((id, index) => id === this.#ids[index]);
    if (!isSame) {
      this.#ids = [...ids];
      this.#ranked = rankByRendezvous(this.#key, ids);
    }
    return this.#ranked;
  }
}
