import type { GatewayRunner } from "../model/gateway_runner.js";
import type { KvCacheRef } from "../model/kv_cache_ref.js";
import type { SourceSigns } from "../model/source_signs.js";
import { hasProcessEnded } from "./has_process_ended.js";
import type { MigrationEvent } from "./migration_event.js";
import type { MigrationState } from "./migration_state.js";
import type { MigrationStep } from "./migration_step.js";
import type { SourceContact } from "./source_contact.js";

/**
 * Failed copies and target searches after which a migration is given up.
 * Together with the pauses between them they span the 2 s of notice that a
 * leaving runner gives before it exits.
 */
const MAX_ATTEMPTS = 17;
/** Orders to stop a run whose stream is open. */
const MAX_STOP_ORDERS = 4;
/** Pause before a final copy that failed is ordered again. */
const STOP_PAUSE_MS = 100;
/** Limit of that pause, which doubles once the stream is lost. */
const MAX_STOP_PAUSE_MS = 500;
const UNCONFIRMED = "the source has not confirmed that the run stopped";

type CopyAnswered = Extract<MigrationEvent, { type: "copy_answered" }>;
type Copying = Extract<MigrationState, { type: "copying" }>;
type Stopping = Extract<MigrationState, { type: "stopping" }>;
type Confirming = Extract<MigrationState, { type: "confirming" }>;

/**
 * State machine for the live migration of one run. The KV cache is copied
 * while the run continues; as late as possible the run is stopped and the
 * remainder copied, so that the caller only waits for the remainder. A run
 * resumes on another runner only with an answer of its source or a sign that the
 * source's process has ended, so that it never executes on two at once. Without
 * one, the stream is lost.
 */
export function advanceMigration(
  state: MigrationState,
  event: MigrationEvent,
): MigrationStep {
  switch (event.type) {
    case "source_leaves":
      return state.type === "idle"
        ? copyOrFindTarget(event.target, 0)
        : { state };
    case "copy_answered":
      if (state.type === "copying") return onCopyResult(state, event);
      if (state.type === "stopping" || state.type === "confirming")
        return onFinalCopyResult(state, event);
      return { state };
    case "target_search_done":
      return state.type === "seeking"
        ? copyOrFindTarget(event.target, state.attempts)
        : { state };
    case "time_to_stop":
      return state.type === "copied" ? stopAndCopy(state) : { state };
    case "stream_broke":
      return onStreamBroken(state);
    case "source_seen":
      return state.type === "confirming"
        ? endIfProcessEnded(state, event.signs)
        : { state };
    case "confirm_timed_out":
      return state.type === "confirming" ? giveUp(UNCONFIRMED) : { state };
    case "run_ended":
      return state.type === "stopped" ? { state } : giveUp("the run has ended");
  }
}

// A search without a target counts as an attempt, which limits the search.
function copyOrFindTarget(
  target: GatewayRunner | undefined,
  attempts: number,
): MigrationStep {
  if (attempts >= MAX_ATTEMPTS) return giveUp("no runner has room");
  return target
    ? {
        state: { type: "copying", target, attempts },
        action: { type: "copy", target, isFinal: false },
      }
    : {
        state: { type: "seeking", attempts: attempts + 1 },
        action: { type: "find_target_later" },
      };
}

function onCopyResult(state: Copying, event: CopyAnswered): MigrationStep {
  const { outcome } = event;
  const { target } = state;
  const attempts = state.attempts + 1;
  switch (outcome.type) {
    case "copied": {
      const cacheRef = toCacheRef(event, outcome.handle);
      return {
        state: { type: "copied", target, cacheRef },
        action: { type: "wait_to_stop" },
      };
    }
    case "no_such_run":
      // A run starts with its first token and can't be copied before that.
      return attempts >= MAX_ATTEMPTS
        ? giveUp("the runner has no such run")
        : {
            state: { ...state, attempts },
            action: { type: "copy_later", target },
          };
    case "refused":
      return copyOrFindTarget(event.nextTarget, attempts);
    case "already_copying":
      return giveUp("the run is being copied already");
    case "connection_refused":
      return giveUp("the runner refuses connections");
    case "no_response":
      return giveUp("the runner does not respond");
    case "unreachable":
      return giveUp(outcome.reason);
  }
}

function stopAndCopy(
  state: Extract<MigrationState, { type: "copied" }>,
): MigrationStep {
  const { target } = state;
  return {
    state: { ...state, type: "stopping", failedStops: 0, isAsking: true },
    action: { type: "copy", target, isFinal: true },
  };
}

function onFinalCopyResult(
  state: Stopping | Confirming,
  event: CopyAnswered,
): MigrationStep {
  const { outcome, source } = event;
  const { target, cacheRef } = state;
  switch (outcome.type) {
    case "copied":
      return stopped(state, {
        runner: target,
        cacheRef: toCacheRef(event, outcome.handle),
        proof: "stop_answered",
      });
    case "refused":
      // A source that stopped the run retains its KV cache and returns a
      // handle, so the run can resume there.
      return outcome.handle === undefined
        ? stopAgain(state, "answered")
        : stopped(state, {
            runner: source,
            cacheRef: toCacheRef(event, outcome.handle),
            proof: "stop_answered",
          });
    case "no_such_run":
      // While the stream is open, its end shows whether the run was complete.
      return state.type === "stopping"
        ? { state: { ...state, isAsking: false } }
        : stopped(state, { runner: target, cacheRef, proof: "no_such_run" });
    case "connection_refused":
      // A runner may close its port and finish what it has begun.
      return state.type === "stopping"
        ? { state: { ...state, isAsking: false } }
        : stopAgain(state, "refused");
    case "no_response":
      return stopAgain(state, "silent");
    case "already_copying":
    case "unreachable":
      return stopAgain(state, "answered");
  }
}

// The run may still execute, so the source is asked again.
function stopAgain(
  before: Stopping | Confirming,
  contact: SourceContact,
): MigrationStep {
  const failedStops = before.failedStops + 1;
  const { target } = before;
  if (before.type === "stopping") {
    return failedStops < MAX_STOP_ORDERS
      ? {
          state: { ...before, failedStops },
          action: { type: "copy_final_later", target, pauseMs: STOP_PAUSE_MS },
        }
      : { state: { ...before, failedStops, isAsking: false } };
  }
  // The caller's patience ends these orders, see `confirm_timed_out`.
  const pauseMs = Math.min(
    MAX_STOP_PAUSE_MS,
    STOP_PAUSE_MS * 2 ** (failedStops - 1),
  );
  return {
    state: { ...before, failedStops, contact },
    action: { type: "copy_final_later", target, pauseMs },
  };
}

function endIfProcessEnded(
  state: Confirming,
  signs: SourceSigns,
): MigrationStep {
  if (!hasProcessEnded(state.contact, signs)) return { state };
  const { target: runner, cacheRef } = state;
  return stopped(state, { runner, cacheRef, proof: "process_ended" });
}

function stopped(
  state: Stopping | Confirming,
  result: Omit<Extract<MigrationState, { type: "stopped" }>, "type">,
): MigrationStep {
  return {
    state: { type: "stopped", ...result },
    action:
      state.type === "stopping" ? { type: "await_stream_end" } : undefined,
  };
}

// The stream is lost, but the target holds the copy made before. The source is
// asked in any case: the end of a connection says nothing of the run.
function onStreamBroken(state: MigrationState): MigrationStep {
  switch (state.type) {
    case "copied":
    case "stopping": {
      const { target, cacheRef } = state;
      const isAsking = state.type === "stopping" && state.isAsking;
      return {
        state: {
          type: "confirming",
          target,
          cacheRef,
          failedStops: 0,
          contact: "unknown",
        },
        action: isAsking ? undefined : { type: "copy", target, isFinal: true },
      };
    }
    case "idle":
    case "seeking":
    case "copying":
      return giveUp("the stream broke before a copy was made");
    case "confirming":
    case "stopped":
    case "given_up":
      return { state };
  }
}

function toCacheRef({ source }: CopyAnswered, handle: string): KvCacheRef {
  return { host: source.host, port: source.port, handle };
}

function giveUp(reason: string): MigrationStep {
  return { state: { type: "given_up", reason } };
}
