/** An abort signal that is created only when something waits for it. */
export class EndSignal {
  #controller: AbortController | undefined;
  #hasEnded = false;

  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  get signal(): AbortSignal {
    if (this.#controller) return this.#controller.signal;
    this.#controller = new AbortController();
    if (this.#hasEnded) this.#controller.abort();
    return this.#controller.signal;
  }

  /** Aborts the signal; later calls have no effect. */
  end(): void {
    this.#hasEnded = true;
    this.#controller?.abort();
  }
}
