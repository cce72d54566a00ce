import { computeBackoffMs, monotonicMs } from "@jujubeladder/utils";
import type { Runner } from "@jujubeladder/types";

const FAILURES_TO_EJECT = 3;
const EJECTION_MS = 3_000;
const MAX_EJECTED_FRACTION = 0.5;

interface Health {
  readonly failures: number;
  readonly ejectedUntilMs: number;
}

/**
 * Outlier ejection: ejects runners after several consecutive failures. The
 * state is local and not gossiped, so that a zone that only this instance
 * cannot reach stays in use elsewhere. If most runners of a service fail, this
 * instance's own network is as likely a cause, so all stay in use and the retry
 * budget limits the extra load.
 */
export class RunnerHealth {
  readonly #healthByRunner = new Map<string, Health>();

  recordSuccess(runnerId: string): void {
    this.#healthByRunner.delete(runnerId);
  }

  /** Records a failure; returns true if it newly ejected the runner. */
  recordFailure(runnerId: string): boolean {
    const wasEjected = this.#isEjected(runnerId);
    const failures = (this.#healthByRunner.get(runnerId)?.failures ?? 0) + 1;
    const isEjected = failures >= FAILURES_TO_EJECT;
    const ejectedUntilMs = isEjected
      ? monotonicMs() +
        EJECTION_MS +
        computeBackoffMs(failures - FAILURES_TO_EJECT)
      : 0;
    this.#healthByRunner.set(runnerId, { failures, ejectedUntilMs });
    return isEjected && !wasEjected;
  }

  /** Filters out ejected runners, unless more than half are ejected. */
  filterUsable(runners: readonly Runner[]): readonly Runner[] {
    const healthy = runners.filter(
      ({ runnerId }) => !this.#isEjected(runnerId),
    );
    const ejectedCount = runners.length - healthy.length;
    return ejectedCount > runners.length * MAX_EJECTED_FRACTION
      ? runners
      : healthy;
  }

  #isEjected(runnerId: string): boolean {
    const untilMs = this.#healthByRunner.get(runnerId)?.ejectedUntilMs ?? 0;
    return untilMs > monotonicMs();
  }
}
