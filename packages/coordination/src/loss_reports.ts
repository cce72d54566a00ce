import { chooseCollectors } from "./choose_collectors.js";
import { PacedAction } from "./paced_action.js";

/** Bounds the cost of losses that keep coming. */
const PAUSE_MS = 100;
/** Fits into a datagram; more are reported in several. */
const REPORTED_TOGETHER = 8;
/** As many as `Quarantine` keeps, so that none is cut by its arrival. */
const MAX_PENDING = 1_000;

/** Reports the losses of requests to the instances that collect them. */
export class LossReports {
  readonly #listInstanceIds: () => readonly string[];
  readonly #report: (
    instanceId: string,
    fingerprints: readonly string[],
  ) => void;
  readonly #pending = new Set<string>();
  readonly #reports = new PacedAction(() => {
    this.#send();
  }, PAUSE_MS);

  /** `listInstanceIds` lists all instances, this one included. */
  constructor(options: {
    readonly listInstanceIds: () => readonly string[];
    readonly report: (
      instanceId: string,
      fingerprints: readonly string[],
    ) => void;
  }) {
    this.#listInstanceIds = options.listInstanceIds;
    this.#report = options.report;
  }

  /** Reports new losses of a request soon. */
  add(fingerprint: string): void {
    if (this.#pending.size >= MAX_PENDING) return;
    this.#pending.add(fingerprint);
    this.#reports.request();
  }

  #send(): void {
    const byCollector = new Map<string, string[]>();
    const instanceIds = this.#listInstanceIds();
    for (const fingerprint of this.#pending) {
      for (const instanceId of chooseCollectors(fingerprint, instanceIds)) {
        const reported = byCollector.get(instanceId) ?? [];
        reported.push(fingerprint);
        byCollector.set(instanceId, reported);
      }
    }
    this.#pending.clear();
    for (const [instanceId, reported] of byCollector)
      for (let from = 0; from < reported.length; from += REPORTED_TOGETHER)
        this.#report(
          instanceId,
          reported.slice(from, from + REPORTED_TOGETHER),
        );
  }
}
