import type { GenerationWork } from "../model/generation_work.js";
import type { RunnerLoad } from "../model/runner_load.js";
import { estimatePeakTokens } from "./estimate_peak_tokens.js";

/** A request placed on a runner, and the load that it causes there. */
export class Placement {
  readonly runnerId: string;
  readonly #work: GenerationWork | undefined;
  #producedTokens = 0;
  readonly #onPrefillDone: () => void;
  #isInPrefill = true;

  constructor(
    runnerId: string,
    work: GenerationWork | undefined,
    onPrefillDone: () => void = () => undefined,
  ) {
    this.runnerId = runnerId;
    this.#work = work;
    this.#onPrefillDone = onPrefillDone;
  }

  /** False for requests that need no memory of an engine. */
  get hasWork(): boolean {
    return this.#work !== undefined;
  }

  /** Marks the prefill as completed or not needed. */
  markPrefillDone(): void {
    if (!this.#isInPrefill) return;
    this.#isInPrefill = false;
    this.#onPrefillDone();
  }

  /** Records the output so far, which implies that the prefill is done. */
  recordOutput(tokens: number): void {
    this.#producedTokens = tokens;
    this.markPrefillDone();
  }

  get load(): RunnerLoad {
    const work = this.#work;
    if (!work) return { requests: 1, peakTokens: 0, unreadTokens: 0 };
    return {
      requests: 1,
      peakTokens: estimatePeakTokens(work, this.#producedTokens),
      unreadTokens: this.#isInPrefill ? work.promptTokens : 0,
    };
  }
}
