import type { GatewayRunner } from "../model/gateway_runner.js";
import type { KvCacheRef } from "../model/kv_cache_ref.js";
import type { StopProof } from "../model/stop_proof.js";
import type { MigrationEvent } from "./migration_event.js";
import type { MigrationState } from "./migration_state.js";
import type { MigrationStep } from "./migration_step.js";

/**
 * Failed copies and target searches after which a migration is given up.
 * Together with the pauses between them they span the 2 s of notice that a
 * leaving runner gives before it exits.
 */
const MAX_ATTEMPTS = 17;
/** Orders to stop a run before its source counts as not answering them. */
const MAX_STOP_ORDERS = 4;
const UNCONFIRMED = "the source has not confirmed that the run stopped";

type CopyAnswered = Extract<MigrationEvent, { type: "copy_answered" }>;
type Copying = Extract<MigrationState, { type: "copying" }>;
type Stopping = Extract<MigrationState, { type: "stopping" }>;
type Confirming = Extract<MigrationState, { type: "confirming" }>;

/**
 * State machine for the live migration of one run. The KV cache is copied
 * while the run continues; as late as possible the run is stopped and the
 * remainder copied, so that the caller only waits for the remainder. A run
 * resumes on another runner only with a proof that it stopped, so that it never
 * executes on two at once. Without one, the stream is lost.
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
      return onStreamBroken(state, event.proof);
    case "confirm_timed_out":
      return state.type === "confirming" ? endConfirming(state) : { state };
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
        ? stopAgain(withoutProof(state))
        : stopped(state, {
            runner: source,
            cacheRef: toCacheRef(event, outcome.handle),
            proof: "stop_answered",
          });
    case "no_such_run":
    case "connection_refused":
      // While the stream is open, its end shows whether the run was complete;
      // a runner may close its port and finish what it has begun.
      return state.type === "stopping"
        ? { state: { ...state, isAsking: false } }
        : stopped(state, { runner: target, cacheRef, proof: outcome.type });
    case "already_copying":
    case "unreachable":
      return stopAgain(state);
  }
}

// The run may still execute, so only the source can tell that it stopped.
function stopAgain(state: Stopping | Confirming): MigrationStep {
  const { target } = state;
  const failedStops = state.failedStops + 1;
  if (failedStops < MAX_STOP_ORDERS) {
    return {
      state: { ...state, failedStops },
      action: { type: "copy_final_later", target },
    };
  }
  return state.type === "stopping"
    ? { state: { ...state, failedStops, isAsking: false } }
    : endConfirming(state);
}

// A source that answers but has not stopped the run may still execute it, also
// if its connection was reset.
function withoutProof(state: Stopping | Confirming): Stopping | Confirming {
  return state.type === "confirming" ? { ...state, proof: undefined } : state;
}

function endConfirming(state: Confirming): MigrationStep {
  const { target, cacheRef, proof } = state;
  return proof
    ? stopped(state, { runner: target, cacheRef, proof })
    : giveUp(UNCONFIRMED);
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

// The stream is lost, but the target holds the copy made before. A source that
// has not been told to stop is asked in any case: its connections may have been
// reset while it goes on.
function onStreamBroken(
  state: MigrationState,
  proof: StopProof | undefined,
): MigrationStep {
  switch (state.type) {
    case "copied":
    case "stopping": {
      const { target, cacheRef } = state;
      if (proof && state.type === "stopping") {
        return { state: { type: "stopped", runner: target, cacheRef, proof } };
      }
      const isAsking = state.type === "stopping" && state.isAsking;
      return {
        state: { type: "confirming", target, cacheRef, failedStops: 0, proof },
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
