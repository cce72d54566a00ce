import { monotonicMs } from "@jujubeladder/utils";

/**
 * Runs an action soon after it is requested, with a pause between two runs.
 * Requests within the pause are served by one run at its end.
 */
export class PacedAction {
  readonly #run: () => void;
  readonly #pauseMs: number;
  #ranAtMs = Number.NEGATIVE_INFINITY;
  #timer: NodeJS.Timeout | undefined;

  constructor(run: () => void, pauseMs: number) {
    this.#run = run;
    this.#pauseMs = pauseMs;
  }

  /** Never runs the action within the call, so that requests at once share it. */
  request(): void {
    if (this.#timer) return;
    const delayMs = this.#ranAtMs + this.#pauseMs - monotonicMs();
    this.#timer = setTimeout(
      () => {
        this.#timer = undefined;
        this.#ranAtMs = monotonicMs();
        this.#run();
      },
      Math.max(0, delayMs),
    );
    this.#timer.unref();
  }
}
