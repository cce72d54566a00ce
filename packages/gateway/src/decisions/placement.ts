import type { GenerationWork } from "../model/generation_work.js";
import type { RunnerLoad } from "../model/runner_load.js";
import { estimateNeed } from "./estimate_need.js";

/** One request's place on a runner. */
export class Placement {
  readonly runnerId: string;
  readonly #work: GenerationWork | undefined;
  #producedTokens = 0;
  #isReading = true;

  constructor(runnerId: string, work: GenerationWork | undefined) {
    this.runnerId = runnerId;
    this.#work = work;
  }

  /** Notes that the prompt need not be read, or has been. */
  noteRead(): void {
    this.#isReading = false;
  }

  /** Notes output; the prompt has then been read. */
  noteProduced(tokens: number): void {
    this.#producedTokens = tokens;
    this.noteRead();
  }

  get load(): RunnerLoad {
    const work = this.#work;
    if (!work) return { requests: 1, peakTokens: 0, unreadTokens: 0 };
    return {
      requests: 1,
      peakTokens: estimateNeed(work, this.#producedTokens),
      unreadTokens: this.#isReading ? work.promptTokens : 0,
    };
  }
}
