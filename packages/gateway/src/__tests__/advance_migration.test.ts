import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { advanceMigration } from "../decisions/advance_migration.js";
import type { MigrationEvent } from "../decisions/migration_event.js";
import type { MigrationState } from "../decisions/migration_state.js";
import type { CopyOutcome } from "../model/copy_outcome.js";
import type { SourceSigns } from "../model/source_signs.js";
import type { StopProof } from "../model/stop_proof.js";
import { createRunner } from "./create_runner.js";

const SOURCE = createRunner("source");
const TARGET = createRunner("target");
const OTHER = createRunner("other");
/** Orders to stop a run while its stream is open. */
const MAX_OPEN_ORDERS = 4;
const INITIAL: MigrationState = { type: "idle" };
const FIRST_COPY = { host: SOURCE.host, port: SOURCE.port, handle: "h" };
const COPIED: MigrationState = {
  type: "copied",
  target: TARGET,
  cacheRef: FIRST_COPY,
};
const STOPPING: MigrationState = {
  ...COPIED,
  type: "stopping",
  failedStops: 0,
  isAsking: true,
};

const REFUSED_CONNECTION: CopyOutcome = { type: "connection_refused" };
const NO_RESPONSE: CopyOutcome = { type: "no_response" };

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
  { type: "connection_refused" },
  { type: "no_response" },
);

const signs: fc.Arbitrary<SourceSigns> = fc.record({
  presence: fc.constantFrom("unknown", "removed", "replaced"),
  isPastExit: fc.boolean(),
});

const events: fc.Arbitrary<MigrationEvent> = fc.oneof(
  fc.constantFrom<MigrationEvent>(
    { type: "source_leaves", target: TARGET },
    { type: "source_leaves" },
    { type: "target_search_done", target: OTHER },
    { type: "target_search_done" },
    { type: "time_to_stop" },
    { type: "stream_broke" },
    { type: "confirm_timed_out" },
    { type: "run_ended" },
  ),
  outcomes.map(copyAnswered),
  signs.map((seen): MigrationEvent => ({ type: "source_seen", signs: seen })),
);

function seen(
  presence: SourceSigns["presence"],
  isPastExit = false,
): MigrationEvent {
  return { type: "source_seen", signs: { presence, isPastExit } };
}

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
    proof: "stop_answered",
  });
  assert.equal(step.action, { type: "await_stream_end" });
});

test("resumes from the first copy when the source exits early", () => {
  let step = advanceMigration(INITIAL, {
    type: "source_leaves",
    target: TARGET,
  });
  const copied = copyAnswered({ type: "copied", handle: "h", eventCount: 3 });
  step = advanceMigration(step.state, copied);
  step = advanceMigration(step.state, { type: "stream_broke" });
  assert.equal(step.action, { type: "copy", target: TARGET, isFinal: true });
  const stopped = { type: "stopped", runner: TARGET, cacheRef: FIRST_COPY };
  const gone = advanceMigration(step.state, copyAnswered(REFUSED_CONNECTION));
  const ended = advanceMigration(gone.state, seen("removed"));
  assert.equal(ended.state, { ...stopped, proof: "process_ended" });
  step = advanceMigration(step.state, copyAnswered({ type: "no_such_run" }));
  assert.equal(step.state, { ...stopped, proof: "no_such_run" });
});

test("a run whose stream broke resumes only with a proof", () => {
  for (const before of [COPIED, STOPPING]) {
    const { state } = advanceMigration(before, { type: "stream_broke" });
    assert.is(state.type, "confirming");
    const proofs = new Map<CopyOutcome, MigrationState["type"]>([
      [{ type: "copied", handle: "h2", eventCount: 3 }, "stopped"],
      [{ type: "refused", handle: "kept" }, "stopped"],
      [{ type: "no_such_run" }, "stopped"],
      [{ type: "refused" }, "confirming"],
      [{ type: "already_copying" }, "confirming"],
      [{ type: "unreachable", reason: "ECONNRESET" }, "confirming"],
      [REFUSED_CONNECTION, "confirming"],
      [NO_RESPONSE, "confirming"],
    ]);
    for (const [outcome, expected] of proofs) {
      const step = advanceMigration(state, copyAnswered(outcome));
      assert.is(step.state.type, expected, outcome.type);
      if (expected === "confirming")
        assert.is(step.action?.type, "copy_final_later", outcome.type);
    }
    const late = advanceMigration(state, { type: "confirm_timed_out" });
    assert.is(late.state.type, "given_up");
  }
});

test("a run whose answer was reset is not resumed while its orders are reset", () => {
  let step = advanceMigration(COPIED, { type: "stream_broke" });
  const reset = copyAnswered({ type: "unreachable", reason: "ECONNRESET" });
  for (let n = 0; n < 40; n += 1) {
    step = advanceMigration(step.state, reset);
    step = { ...step, ...advanceMigration(step.state, seen("removed", true)) };
    assert.is(step.state.type, "confirming");
  }
  const late = advanceMigration(step.state, { type: "confirm_timed_out" });
  assert.is(late.state.type, "given_up");
});

test("the process of a source has ended only by two signs, or a new start", () => {
  const { state } = advanceMigration(COPIED, { type: "stream_broke" });
  const expected: readonly [CopyOutcome, MigrationEvent, boolean][] = [
    [REFUSED_CONNECTION, seen("unknown"), false],
    [REFUSED_CONNECTION, seen("removed"), true],
    [REFUSED_CONNECTION, seen("unknown", true), true],
    [NO_RESPONSE, seen("removed"), false],
    [NO_RESPONSE, seen("unknown", true), false],
    [NO_RESPONSE, seen("removed", true), true],
    [{ type: "refused" }, seen("removed", true), false],
    [{ type: "already_copying" }, seen("removed", true), false],
    [{ type: "unreachable", reason: "reset" }, seen("removed", true), false],
    [{ type: "unreachable", reason: "reset" }, seen("replaced"), true],
  ];
  for (const [outcome, sighting, hasEnded] of expected) {
    const step = advanceMigration(state, copyAnswered(outcome));
    const { type } = advanceMigration(step.state, sighting).state;
    const text = JSON.stringify({ outcome, sighting });
    assert.is(type, hasEnded ? "stopped" : "confirming", text);
  }
  assert.is(
    advanceMigration(state, seen("removed", true)).state.type,
    "confirming",
    "before any order came back",
  );
});

test("a closed port does not prove a stop, also if the stream then breaks", () => {
  const step = advanceMigration(STOPPING, copyAnswered(REFUSED_CONNECTION));
  assert.equal(step.state, { ...STOPPING, isAsking: false });
  assert.is(step.action, undefined);
  const broke = advanceMigration(step.state, { type: "stream_broke" });
  assert.is(broke.state.type, "confirming");
  assert.equal(broke.action, { type: "copy", target: TARGET, isFinal: true });
});

test("a source that answers again after a closed port has not ended", () => {
  let step = advanceMigration(COPIED, { type: "stream_broke" });
  step = advanceMigration(step.state, copyAnswered(REFUSED_CONNECTION));
  step = advanceMigration(step.state, copyAnswered({ type: "refused" }));
  const { state } = advanceMigration(step.state, seen("removed", true));
  assert.is(state.type, "confirming");
});

test("resumes on the stopped source when the target refuses the final copy", () => {
  const step = advanceMigration(
    STOPPING,
    copyAnswered({ type: "refused", handle: "kept" }),
  );
  assert.ok(step.state.type === "stopped");
  if (step.state.type !== "stopped") return;
  assert.is(step.state.runner.runnerId, "source");
  assert.is(step.state.cacheRef.handle, "kept");
});

test("orders the stop again when it is refused and leaves the stream open", () => {
  let step = advanceMigration(STOPPING, copyAnswered({ type: "refused" }));
  assert.is(step.state.type, "stopping");
  assert.equal(step.action, {
    type: "copy_final_later",
    target: TARGET,
    pauseMs: 100,
  });
  for (let n = 0; n < 20 && step.action; n += 1)
    step = advanceMigration(step.state, copyAnswered({ type: "refused" }));
  assert.is(step.state.type, "stopping");
  assert.is(step.action, undefined);
  const broken = advanceMigration(step.state, { type: "stream_broke" });
  assert.is(broken.state.type, "confirming");
  assert.equal(broken.action, { type: "copy", target: TARGET, isFinal: true });
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

test("a run stops with a proof and in few actions, for any sequence of events", () => {
  fc.assert(
    fc.property(fc.array(events, { maxLength: 40 }), (sequence) => {
      let state = INITIAL as MigrationState;
      let hasCopy = false;
      let openOrders = 0;
      let lastPauseMs = 0;
      let actions = 0;
      for (const event of sequence) {
        const before = state;
        const { state: next, action } = advanceMigration(before, event);
        if (event.type === "copy_answered") {
          const { outcome } = event;
          if (before.type === "copying" && outcome.type === "copied") {
            hasCopy = true;
          }
        }
        if (next.type === "stopped" && before.type !== "stopped") {
          assert.ok(hasCopy);
          assert.is(next.proof, findProof(before, event));
        }
        const isFirstOrder = action?.type === "copy" && action.isFinal;
        const isNextOrder = action?.type === "copy_final_later";
        if (isFirstOrder || isNextOrder) {
          assert.ok(hasCopy, "a run is stopped only if a copy exists");
          if (next.type === "stopping") openOrders += 1;
        }
        if (isNextOrder) {
          assert.is(event.type, "copy_answered", "one order at a time");
          assert.ok(action.pauseMs >= lastPauseMs && action.pauseMs >= 100);
          assert.ok(action.pauseMs <= 500);
        }
        if (isNextOrder && next.type === "confirming")
          lastPauseMs = action.pauseMs;
        if (action?.type === "await_stream_end")
          assert.is(next.type, "stopped", "only a stopped run's stream closes");
        const isPaced = isNextOrder && next.type === "confirming";
        if (action && action.type !== "wait_to_stop" && !isPaced) actions += 1;
        const isOver = before.type === "stopped" || before.type === "given_up";
        if (isOver) assert.is(action, undefined);
        state = next;
      }
      assert.ok(
        openOrders <= MAX_OPEN_ORDERS,
        "a source is asked to stop a few times while the stream is open",
      );
      assert.ok(
        actions < 30,
        "a migration ends after a bounded number of actions",
      );
    }),
  );
});

// What the event itself shows; derived from the wire protocol, not the code.
function findProof(
  before: MigrationState,
  event: MigrationEvent,
): StopProof | undefined {
  if (event.type === "source_seen" && before.type === "confirming") {
    const { presence, isPastExit } = event.signs;
    const isRemoved = presence === "removed";
    const hasEnded =
      presence === "replaced" ||
      (before.contact === "refused" && (isRemoved || isPastExit)) ||
      (before.contact === "silent" && isRemoved && isPastExit);
    return hasEnded ? "process_ended" : undefined;
  }
  if (event.type !== "copy_answered") return undefined;
  if (before.type !== "stopping" && before.type !== "confirming")
    return undefined;
  const { outcome } = event;
  if ("handle" in outcome && outcome.handle) return "stop_answered";
  const isAsked = before.type === "confirming";
  return outcome.type === "no_such_run" && isAsked ? "no_such_run" : undefined;
}

/** Something that happens to a run on a source which ignores our close. */
const happening = fc.constantFrom(
  "leaves",
  "target found",
  "time to stop",
  "executes the order",
  "executes the order, answer lost",
  "executes the order, target refuses",
  "refuses the order",
  "garbles the answer",
  "is copying",
  "we close",
  "stream reset, run stops",
  "answer lost, run goes on",
  "order reset",
  "closes its port, run goes on",
  "cut off from us",
  "cut off from the store",
  "cut off from both",
  "crashes",
  "exits at its time",
  "starts anew",
  "source is looked up",
  "run completes",
  "no answer in time",
);

// Most sequences start with a copy, as without one little can happen.
const happenings = fc
  .tuple(
    fc.constantFrom<readonly string[]>(
      [],
      ["leaves", "executes the order"],
      ["leaves", "executes the order", "time to stop"],
      ["leaves", "executes the order", "we close"],
      ["leaves", "executes the order", "answer lost, run goes on"],
    ),
    fc.array(happening, { maxLength: 30 }),
  )
  .map(([start, rest]) => [...start, ...rest]);

test("a run never resumes while its source works on it, for any order of happenings", () => {
  const reached = new Set<string>();
  fc.assert(
    fc.property(happenings, (sequence) => {
      let state = INITIAL as MigrationState;
      let order: "first" | "final" | undefined;
      let isRunning = true;
      let port: "open" | "closed" | "silent" = "open";
      let signs: SourceSigns = { presence: "unknown", isPastExit: false };
      let hasProcess = true;
      let isStreamOpen = true;
      const apply = (event: MigrationEvent) => {
        const step = advanceMigration(state, event);
        state = step.state;
        if (step.action?.type === "copy")
          order = step.action.isFinal ? "final" : "first";
        if (step.action?.type === "copy_final_later") order = "final";
        if (step.action?.type === "copy_later") order = "first";
        reached.add(state.type === "stopped" ? state.proof : state.type);
        if (state.type === "stopped") assert.not(isRunning, sequence.join());
      };
      const answer = (outcome: CopyOutcome, hasExecuted: boolean) => {
        if (!order) return;
        const isFinal = order === "final";
        order = undefined;
        if (port === "closed") apply(copyAnswered(REFUSED_CONNECTION));
        else if (port === "silent") apply(copyAnswered(NO_RESPONSE));
        else if (!isRunning) apply(copyAnswered({ type: "no_such_run" }));
        else {
          if (isFinal && hasExecuted) isRunning = false;
          apply(copyAnswered(outcome));
        }
      };
      const breakStream = () => {
        if (!isStreamOpen) return;
        isStreamOpen = false;
        apply({ type: "stream_broke" });
      };
      const endProcess = () => {
        hasProcess = false;
        isRunning = false;
        port = port === "silent" ? port : "closed";
        signs = { ...signs, presence: "removed" };
        breakStream();
      };
      // Two causes that mislead at once are not played.
      const mayMislead = () =>
        hasProcess && port === "open" && signs.presence === "unknown";
      const lost: CopyOutcome = { type: "unreachable", reason: "timeout" };
      for (const happening of sequence) {
        switch (happening) {
          case "leaves":
            apply({ type: "source_leaves", target: TARGET });
            break;
          case "target found":
            apply({ type: "target_search_done", target: OTHER });
            break;
          case "time to stop":
            apply({ type: "time_to_stop" });
            break;
          case "executes the order":
            answer({ type: "copied", handle: "h", eventCount: 1 }, true);
            break;
          case "executes the order, answer lost":
            answer(lost, true);
            break;
          case "executes the order, target refuses": {
            const handle = order === "final" ? "kept" : undefined;
            answer({ type: "refused", handle }, true);
            break;
          }
          case "refuses the order":
            answer({ type: "refused" }, false);
            break;
          case "garbles the answer":
            answer(lost, false);
            break;
          case "is copying":
            answer({ type: "already_copying" }, false);
            break;
          case "we close":
            breakStream();
            break;
          case "stream reset, run stops":
            isRunning = false;
            breakStream();
            break;
          case "answer lost, run goes on":
            breakStream();
            break;
          case "order reset":
            if (port === "open") answer(lost, false);
            break;
          case "closes its port, run goes on":
            if (mayMislead()) port = "closed";
            break;
          case "cut off from us":
            if (mayMislead()) port = "silent";
            break;
          case "cut off from the store":
            if (mayMislead()) signs = { ...signs, presence: "removed" };
            break;
          case "cut off from both":
            if (!mayMislead()) break;
            port = "silent";
            signs = { ...signs, presence: "removed" };
            break;
          case "crashes":
            endProcess();
            break;
          case "exits at its time":
            endProcess();
            signs = { ...signs, isPastExit: true };
            break;
          case "starts anew":
            endProcess();
            port = "open";
            signs = { ...signs, presence: "replaced" };
            break;
          case "source is looked up":
            apply({ type: "source_seen", signs });
            break;
          case "run completes":
            isRunning = false;
            if (isStreamOpen) apply({ type: "run_ended" });
            isStreamOpen = false;
            break;
          case "no answer in time":
            if (!isStreamOpen) apply({ type: "confirm_timed_out" });
            break;
        }
      }
    }),
    { numRuns: 20_000 },
  );
  // Guards against a property that holds because nothing ever resumes.
  for (const proof of ["stop_answered", "no_such_run", "process_ended"])
    assert.ok(reached.has(proof), proof);
});

test.run();
