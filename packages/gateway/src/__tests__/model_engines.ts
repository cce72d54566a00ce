/** The engines of the retry model; those that leave get no streams. */
export class ModelEngines {
  readonly #count: number;
  readonly #random: () => number;
  readonly #leaving = new Set<number>();

  constructor(count: number, random: () => number) {
    this.#count = count;
    this.#random = random;
  }

  pick(): number {
    const first = Math.floor(this.#random() * this.#count);
    for (let n = 0; n < this.#count; n += 1) {
      const engine = (first + n) % this.#count;
      if (!this.#leaving.has(engine)) return engine;
    }
    return first;
  }

  /** Returns the engines that leave, a share of all. */
  leave(share: number): ReadonlySet<number> {
    const engines = new Set<number>();
    for (let n = 0; n < Math.round(share * this.#count); n += 1) {
      const engine = this.pick();
      engines.add(engine);
      this.#leaving.add(engine);
    }
    return engines;
  }

  /** Takes back engines that left, under the same numbers. */
  replace(engines: ReadonlySet<number>): void {
    for (const engine of engines) this.#leaving.delete(engine);
  }
}
