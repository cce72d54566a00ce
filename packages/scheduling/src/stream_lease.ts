import type { LengthDistribution } from "./length_distribution.js";

/** Tracks a stream's memory use on a runner until it is released. */
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

  /** Sets the number of tokens produced so far. */
  progress(producedTokens: number): void {
    this.#producedTokens = producedTokens;
  }

  /** Releases the lease; idempotent. */
  release(): void {
    if (this.#isReleased) return;
    this.#isReleased = true;
    this.#onRelease();
  }
}
