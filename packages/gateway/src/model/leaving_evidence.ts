import type { LeavingSource } from "./leaving_source.js";
import type { RunnerAbsence } from "./runner_absence.js";

/**
 * How it is known that an incarnation of a runner is leaving. A statement is
 * final. An absence from the store's list holds until the store shows that the
 * incarnation has registered since: a restored store lacks registrations that
 * it had acknowledged.
 */
export type LeavingEvidence =
  | {
      readonly type: "stated";
      readonly source: LeavingSource;
      /** Greatest age of the statement, where it is known. */
      readonly ageMs?: number | undefined;
    }
  | ({ readonly type: "absent" } & RunnerAbsence);
