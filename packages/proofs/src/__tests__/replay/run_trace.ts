import { settleWithin, sleep } from "@jujubeladder/utils";
import { Fleet } from "../harness/fleet.js";
import { checkInvariants } from "./check_invariants.js";
import { checkExpectedOutcome } from "./check_expected_outcome.js";
import { readGroundTruth } from "./read_ground_truth.js";
import { Replay } from "./replay.js";
import type { Trace } from "./trace.js";
import { watchRevisions } from "./watch_revisions.js";

const SETTLE_MS = 1_500;
const MAX_TRACE_MS = 150_000;

/** Result of replaying a trace. */
interface TraceResult {
  readonly violations: readonly string[];
  /** Folder that holds the log of each process. */
  readonly folder: string;
}

/** Replays a trace on a fresh fleet and checks invariants and outcomes. */
export async function runTrace(trace: Trace): Promise<TraceResult> {
  const fleet = new Fleet(trace.fleet);
  const { folder } = fleet;
  const watchAbort = new AbortController();
  try {
    await fleet.start();
    const replay = new Replay(fleet);
    const { recording } = replay;
    void watchRevisions(fleet, watchAbort.signal, (violation) => {
      recording.violations.push(violation);
    });
    const perform = async () => {
      for (const act of trace.acts) await replay.perform(act);
      return true;
    };
    if ((await settleWithin(perform(), MAX_TRACE_MS)) !== true) {
      throw new Error(`replay took longer than ${MAX_TRACE_MS} ms`);
    }
    // Resume frozen processes so that their late work is in the ground truth.
    for (const name of [...fleet.entryNames, ...fleet.backendNames]) {
      if (hasProcess(fleet, name)) fleet.child(name).signal("SIGCONT");
    }
    if (
      (await settleWithin(replay.waitForResponses(), MAX_TRACE_MS)) ===
      undefined
    ) {
      throw new Error("a response is still outstanding");
    }
    await sleep(SETTLE_MS);
    const truth = await readGroundTruth(fleet);
    const violations = [...checkInvariants(recording, truth)];
    for (const expected of trace.states) {
      const options = { truth, fleet };
      violations.push(
        ...(await checkExpectedOutcome(expected, recording, options)),
      );
    }
    return { violations, folder };
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return { violations: [`the trace stopped: ${reason}`], folder };
  } finally {
    watchAbort.abort();
    await fleet.stop();
  }
}

function hasProcess(fleet: Fleet, name: string): boolean {
  try {
    fleet.child(name);
    return true;
  } catch {
    return false;
  }
}
