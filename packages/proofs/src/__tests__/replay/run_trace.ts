import { settleWithin, sleep } from "@jujubeladder/utils";
import { Fleet } from "../harness/fleet.js";
import { checkInvariants } from "./check_invariants.js";
import { checkStated } from "./check_stated.js";
import { readGroundTruth } from "./read_ground_truth.js";
import { Replay } from "./replay.js";
import type { Trace } from "./trace.js";
import { watchRevisions } from "./watch_revisions.js";

const SETTLE_MS = 1_500;
const MAX_TRACE_MS = 150_000;

/** What came of a trace. */
interface TraceOutcome {
  readonly violations: readonly string[];
  /** Folder with the log of each process. */
  readonly folder: string;
}

/** Replays a trace on a fresh fleet and compares what was stated. */
export async function runTrace(trace: Trace): Promise<TraceOutcome> {
  const fleet = new Fleet(trace.fleet);
  const { folder } = fleet;
  const watching = new AbortController();
  try {
    await fleet.start();
    const replay = new Replay(fleet);
    const { recording } = replay;
    void watchRevisions(fleet, watching.signal, (violation) => {
      recording.violations.push(violation);
    });
    const perform = async () => {
      for (const act of trace.acts) await replay.perform(act);
      return true;
    };
    if ((await settleWithin(perform(), MAX_TRACE_MS)) !== true) {
      throw new Error(`it took longer than ${MAX_TRACE_MS} ms`);
    }
    // Whatever is frozen wakes, so that late work shows in the truth.
    for (const name of [...fleet.entryNames, ...fleet.backendNames]) {
      if (isKnown(fleet, name)) fleet.child(name).signal("SIGCONT");
    }
    if ((await settleWithin(replay.settle(), MAX_TRACE_MS)) === undefined) {
      throw new Error("an answer never came");
    }
    await sleep(SETTLE_MS);
    const truth = await readGroundTruth(fleet);
    const violations = [...checkInvariants(recording, truth)];
    for (const stated of trace.states) {
      const options = { truth, fleet };
      violations.push(...(await checkStated(stated, recording, options)));
    }
    return { violations, folder };
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return { violations: [`the trace stopped: ${reason}`], folder };
  } finally {
    watching.abort();
    await fleet.stop();
  }
}

function isKnown(fleet: Fleet, name: string): boolean {
  try {
    fleet.child(name);
    return true;
  } catch {
    return false;
  }
}
