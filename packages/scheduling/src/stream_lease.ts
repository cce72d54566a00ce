import type { LengthDistribution } from "./length_distribution.js";

/** A stream's hold on a runner's memory, as its instance sees it. */
export class StreamLease {
  readonly distribution: LengthDistribution;
  readonly promptTokens: number;
  readonly startedAtMs: number;
  readonly #onRelease: () => void;
  #producedTokens = 0;
  #isReleased = false;

  constructor(options: {
    readonly distribution: LengthDistribution;
    readonly promptTokens: number;
    readonly startedAtMs: number;
    readonly onRelease: () => void;
  }) {
    this.distribution = options.distribution;
    this.promptTokens = options.promptTokens;
    this.startedAtMs = options.startedAtMs;
    this.#onRelease = options.onRelease;
  }

  get producedTokens(): number {
    return this.#producedTokens;
  }

  get contextTokens(): number {
    return this.promptTokens + this.#producedTokens;
  }

  /** Notes how many tokens the generation has produced so far. */
  progress(producedTokens: number): void {
    this.#producedTokens = producedTokens;
  }

  /** Frees the hold; a second call does nothing. */
  release(): void {
    if (this.#isReleased) return;
    this.#isReleased = true;
    this.#onRelease();
  }
}
