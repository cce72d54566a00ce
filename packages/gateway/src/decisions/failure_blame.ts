/**
 * Decides which runners the error answers of one request count against. If two
 * runners fail the same request, the cause is taken to be the request: counting
 * it against them would drive load away from healthy runners.
 */
export class FailureBlame {
  readonly #failedRunnerIds: string[] = [];

  /** Records that a runner answered the request with a server error. */
  recordFailure(runnerId: string): void {
    this.#failedRunnerIds.push(runnerId);
  }

  /** Runners to blame, once it is known whether another runner succeeded. */
  listBlamed(hasSucceeded: boolean): readonly string[] {
    const isRequestSuspect = !hasSucceeded && this.#failedRunnerIds.length > 1;
    return isRequestSuspect ? [] : this.#failedRunnerIds;
  }
}
