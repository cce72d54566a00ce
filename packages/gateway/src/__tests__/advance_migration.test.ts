import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { advanceMigration } from "../decisions/advance_migration.js";
import type { MigrationEvent } from "../decisions/migration_event.js";
import type { MigrationState } from "../decisions/migration_state.js";
import type { CopyOutcome } from "../model/copy_outcome.js";
import { createRunner } from "./create_runner.js";

const SOURCE = createRunner("source");
const TARGET = createRunner("target");
const OTHER = createRunner("other");
const INITIAL: MigrationState = { type: "idle" };

function copyAnswered(outcome: CopyOutcome) {
  return {
    type: "copy_answered",
    source: SOURCE,
    outcome,
    nextTarget: OTHER,
  } as const;
}

const outcomes: fc.Arbitrary<CopyOutcome> = fc.constantFrom<CopyOutcome>(
  { type: "copied", handle: "h", eventCount: 3 },
  { type: "no_such_run" },
  { type: "already_copying" },
  { type: "refused" },
  { type: "refused", handle: "kept" },
  { type: "unreachable", reason: "reset" },
);

const events: fc.Arbitrary<MigrationEvent> = fc.oneof(
  fc.constantFrom<MigrationEvent>(
    { type: "source_leaves", target: TARGET },
    { type: "source_leaves" },
    { type: "target_search_done", target: OTHER },
    { type: "target_search_done" },
    { type: "time_to_stop" },
    { type: "stream_broke" },
    { type: "run_ended" },
  ),
  outcomes.map(copyAnswered),
);

test("copies, waits, stops, copies the remainder and resumes on the target", () => {
  let step = advanceMigration(INITIAL, {
    type: "source_leaves",
    target: TARGET,
  });
  assert.equal(step.action, { type: "copy", target: TARGET, isFinal: false });
  const copied = copyAnswered({ type: "copied", handle: "h", eventCount: 3 });
  step = advanceMigration(step.state, copied);
  assert.equal(step.action, { type: "wait_to_stop" });
  step = advanceMigration(step.state, { type: "time_to_stop" });
  assert.equal(step.action, { type: "copy", target: TARGET, isFinal: true });
  step = advanceMigration(step.state, copied);
  assert.equal(step.state, {
    type: "stopped",
    runner: TARGET,
    cacheRef: { host: SOURCE.host, port: SOURCE.port, handle: "h" },
  });
});

test("resumes from the first copy when the source exits early", () => {
  let step = advanceMigration(INITIAL, {
    type: "source_leaves",
    target: TARGET,
  });
  const copied = copyAnswered({ type: "copied", handle: "h", eventCount: 3 });
  step = advanceMigration(step.state, copied);
  step = advanceMigration(step.state, { type: "stream_broke" });
  assert.is(step.state.type, "stopped");
});

test("resumes on the stopped source when the target refuses the final copy", () => {
  const stopping: MigrationState = {
    type: "stopping",
    target: TARGET,
    cacheRef: { host: SOURCE.host, port: SOURCE.port, handle: "h" },
  };
  const step = advanceMigration(
    stopping,
    copyAnswered({ type: "refused", handle: "kept" }),
  );
  assert.ok(step.state.type === "stopped");
  if (step.state.type !== "stopped") return;
  assert.is(step.state.runner.runnerId, "source");
  assert.is(step.state.cacheRef.handle, "kept");
});

test("breaks the stream and resumes from the first copy when a stop is refused", () => {
  const cacheRef = { host: SOURCE.host, port: SOURCE.port, handle: "h" };
  const stopping: MigrationState = {
    type: "stopping",
    target: TARGET,
    cacheRef,
  };
  const refused = advanceMigration(stopping, copyAnswered({ type: "refused" }));
  assert.equal(refused.action, { type: "close_source_stream" });
  const broken = advanceMigration(refused.state, { type: "stream_broke" });
  assert.equal(broken.state, { type: "stopped", runner: TARGET, cacheRef });
});

test("keeps searching for a target while runners refuse the copy", () => {
  let step = advanceMigration(INITIAL, {
    type: "source_leaves",
    target: TARGET,
  });
  const refused = copyAnswered({ type: "refused" });
  step = advanceMigration(step.state, refused);
  assert.equal(step.action, { type: "copy", target: OTHER, isFinal: false });
  step = advanceMigration(step.state, { ...refused, nextTarget: undefined });
  assert.equal(step.action, { type: "find_target_later" });
  step = advanceMigration(step.state, { type: "target_search_done" });
  assert.equal(step.action, { type: "find_target_later" });
  step = advanceMigration(step.state, {
    type: "target_search_done",
    target: TARGET,
  });
  assert.equal(step.action, { type: "copy", target: TARGET, isFinal: false });
});

test("a run never executes on two runners, for any sequence of events", () => {
  fc.assert(
    fc.property(fc.array(events, { maxLength: 40 }), (sequence) => {
      let state = INITIAL as MigrationState;
      let mayHaveStopped = false;
      let hasCopy = false;
      let finalCopies = 0;
      let actions = 0;
      for (const event of sequence) {
        const before = state;
        const { state: next, action } = advanceMigration(before, event);
        if (event.type === "stream_broke") mayHaveStopped = true;
        if (event.type === "copy_answered") {
          const { outcome } = event;
          const hasHandle = "handle" in outcome && outcome.handle !== undefined;
          if (before.type === "copying" && outcome.type === "copied") {
            hasCopy = true;
          }
          // Only the response to a final copy confirms that the run stopped.
          if (before.type === "stopping" && hasHandle) mayHaveStopped = true;
        }
        if (next.type === "stopped") assert.ok(mayHaveStopped && hasCopy);
        if (action?.type === "copy" && action.isFinal) {
          finalCopies += 1;
          assert.ok(hasCopy, "a run is stopped only if a copy exists");
        }
        if (action && action.type !== "wait_to_stop") actions += 1;
        const isOver = before.type === "stopped" || before.type === "given_up";
        if (isOver) assert.is(action, undefined);
        state = next;
      }
      assert.ok(finalCopies <= 1);
      assert.ok(
        actions < 20,
        "a migration ends after a bounded number of actions",
      );
    }),
  );
});

test.run();
