import { monotonicMs } from "@jujubeladder/utils";
import { withdrawsAbsence } from "../decisions/withdraws_absence.js";
import { compareStorePositions } from "../model/compare_store_positions.js";
import type { LeavingEvidence } from "../model/leaving_evidence.js";
import type { RunnerSighting } from "../model/runner_sighting.js";
import type { StorePosition } from "../model/store_position.js";

/** Minimum time for which a mark is retained. */
const RETENTION_MS = 60_000;

interface Mark {
  readonly sinceMs: number;
  readonly evidence: LeavingEvidence;
}

/** The incarnations of runners that are leaving, and how that is known. */
export class LeavingMarks {
  /** The earliest first. */
  readonly #marks = new Map<string, Mark>();

  has(incarnationId: string): boolean {
    return this.#marks.has(incarnationId);
  }

  /** Marks an incarnation; tells whether that is new or better known now. */
  add(
    incarnationId: string,
    evidence: LeavingEvidence,
  ): "new" | "now_stated" | "known" {
    const known = this.#marks.get(incarnationId);
    if (known?.evidence.type === "stated") return "known";
    if (known && evidence.type === "absent") {
      this.#postponeAbsence(incarnationId, known, evidence.asOf);
      return "known";
    }
    this.#marks.delete(incarnationId);
    this.#marks.set(incarnationId, { sinceMs: monotonicMs(), evidence });
    return known ? "now_stated" : "new";
  }

  /** Records a list of the store, in which some incarnations are absent. */
  postponeAbsences(listed: ReadonlySet<string>, asOf: StorePosition): void {
    for (const [incarnationId, mark] of this.#marks) {
      if (listed.has(incarnationId)) continue;
      this.#postponeAbsence(incarnationId, mark, asOf);
    }
  }

  /** Confirms the absences that an answer of the store did not withdraw. */
  confirmAbsences(asOf: StorePosition): void {
    for (const [incarnationId, { sinceMs, evidence }] of this.#marks) {
      if (evidence.type === "stated" || evidence.isConfirmed) continue;
      if (compareStorePositions(asOf, evidence.asOf) < 0) continue;
      this.#marks.set(incarnationId, {
        sinceMs,
        evidence: { ...evidence, isConfirmed: true },
      });
    }
  }

  /**
   * Withdraws an absence if the incarnation has registered since; returns where
   * it was seen.
   */
  withdrawAbsence(
    incarnationId: string,
    sighting: RunnerSighting,
  ): StorePosition | undefined {
    const evidence = this.#marks.get(incarnationId)?.evidence;
    if (evidence?.type !== "absent") return undefined;
    if (!withdrawsAbsence(sighting, evidence)) return undefined;
    this.#marks.delete(incarnationId);
    return evidence.asOf;
  }

  /** Drops old marks; a stale list may still say that a runner is ready. */
  evictUnlisted(listed: ReadonlySet<string>): void {
    const nowMs = monotonicMs();
    for (const [incarnationId, { sinceMs }] of this.#marks) {
      if (nowMs - sinceMs < RETENTION_MS) return;
      if (!listed.has(incarnationId)) this.#marks.delete(incarnationId);
    }
  }

  // Only a sighting later than the last absence is evidence against it.
  #postponeAbsence(
    incarnationId: string,
    { sinceMs, evidence }: Mark,
    asOf: StorePosition,
  ): void {
    if (evidence.type === "stated") return;
    if (compareStorePositions(asOf, evidence.asOf) <= 0) return;
    this.#marks.set(incarnationId, {
      sinceMs,
      evidence: { ...evidence, asOf },
    });
  }
}
