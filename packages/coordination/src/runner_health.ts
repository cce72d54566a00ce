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
 * Ejects runners that fail this instance several times in a row. When most
 * of a zone fails at once the instance's own link is as likely a cause, so
 * the zone is kept in use and the retry budget bounds the harm.
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

  /** Leaves out ejected runners, zone by zone. */
  filterUsable(runners: readonly Runner[]): readonly Runner[] {
    const zones = new Map<string, { total: number; ejected: number }>();
    for (const { availabilityZone, runnerId } of runners) {
      const zone = zones.get(availabilityZone) ?? { total: 0, ejected: 0 };
      zone.total += 1;
      if (this.#isEjected(runnerId)) zone.ejected += 1;
      zones.set(availabilityZone, zone);
    }
    return runners.filter(({ availabilityZone, runnerId }) => {
      const zone = zones.get(availabilityZone);
      if (!zone || zone.ejected > zone.total * MAX_EJECTED_SHARE) return true;
      return !this.#isEjected(runnerId);
    });
  }

  #isEjected(runnerId: string): boolean {
    const untilMs = this.#healths.get(runnerId)?.ejectedUntilMs ?? 0;
    return untilMs > monotonicMs();
  }
}
