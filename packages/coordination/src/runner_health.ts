import { computeBackoffMs, monotonicMs } from "@jujubeladder/utils";
import type { Runner } from "@jujubeladder/types";

const FAILURES_TO_EJECT = 3;
const EJECTION_MS = 3_000;
const MAX_EJECTED_SHARE = 0.5;

interface Health {
  readonly failures: number;
  readonly ejectedUntilMs: number;
}

/**
 * Ejects runners that fail this instance several times in a row. The verdict
 * is this instance's own and is told to nobody: a zone that it alone cannot
 * reach stays in use elsewhere. When most runners of a service fail, its own
 * link is as likely a cause; all are kept, and the retry budget bounds harm.
 */
export class RunnerHealth {
  readonly #healths = new Map<string, Health>();

  noteSuccess(runnerId: string): void {
    this.#healths.delete(runnerId);
  }

  /** True when this failure has ejected a runner that was in use. */
  noteFailure(runnerId: string): boolean {
    const wasEjected = this.#isEjected(runnerId);
    const failures = (this.#healths.get(runnerId)?.failures ?? 0) + 1;
    const isEjected = failures >= FAILURES_TO_EJECT;
    const ejectedUntilMs = isEjected
      ? monotonicMs() +
        EJECTION_MS +
        computeBackoffMs(failures - FAILURES_TO_EJECT)
      : 0;
    this.#healths.set(runnerId, { failures, ejectedUntilMs });
    return isEjected && !wasEjected;
  }

  /** Leaves out ejected runners, unless most are. */
  filterUsable(runners: readonly Runner[]): readonly Runner[] {
    const healthy = runners.filter(
      ({ runnerId }) => !this.#isEjected(runnerId),
    );
    const ejectedCount = runners.length - healthy.length;
    return ejectedCount > runners.length * MAX_EJECTED_SHARE
      ? runners
      : healthy;
  }

  #isEjected(runnerId: string): boolean {
    const untilMs = this.#healths.get(runnerId)?.ejectedUntilMs ?? 0;
    return untilMs > monotonicMs();
  }
}
