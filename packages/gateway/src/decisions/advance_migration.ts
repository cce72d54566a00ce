import type { GatewayRunner } from "../model/gateway_runner.js";
import type { KvCacheRef } from "../model/kv_cache_ref.js";
import type { MigrationEvent } from "./migration_event.js";
import type { MigrationState } from "./migration_state.js";
import type { MigrationStep } from "./migration_step.js";

/**
 * Failed copies and target searches after which a migration is given up.
 * Together with the pauses between them they span the 2 s of notice that a
 * leaving runner gives before it exits.
 */
const MAX_ATTEMPTS = 17;

type CopyAnswered = Extract<MigrationEvent, { type: "copy_answered" }>;
type Copying = Extract<MigrationState, { type: "copying" }>;
type Stopping = Extract<MigrationState, { type: "stopping" }>;

/**
 * State machine for the live migration of one run. The KV cache is copied
 * while the run continues; as late as possible the run is stopped and the
 * remainder copied, so that the caller only waits for the remainder. A run is
 * resumed on another runner only after its source has confirmed that it
 * stopped or its stream has broken, so that it never executes on two at once.
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
      if (state.type === "stopping") return onFinalCopyResult(state, event);
      return { state };
    case "target_search_done":
      return state.type === "seeking"
        ? copyOrFindTarget(event.target, state.attempts)
        : { state };
    case "time_to_stop":
      return state.type === "copied" ? stopAndCopy(state) : { state };
    case "stream_broke":
      return onStreamBroken(state);
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
    case "unreachable":
      return giveUp(outcome.reason);
  }
}

function stopAndCopy(
  state: Extract<MigrationState, { type: "copied" }>,
): MigrationStep {
  const { target } = state;
  return {
    state: { ...state, type: "stopping" },
    action: { type: "copy", target, isFinal: true },
  };
}

function onFinalCopyResult(
  state: Stopping,
  event: CopyAnswered,
): MigrationStep {
  const { outcome, source } = event;
  switch (outcome.type) {
    case "copied": {
      const cacheRef = toCacheRef(event, outcome.handle);
      return { state: { type: "stopped", runner: state.target, cacheRef } };
    }
    case "refused": {
      // A source that stopped the run retains its KV cache and returns a
      // handle, so the run can resume there. Without a handle the run may be
      // stalled; closing its stream lets it resume from the first copy.
      if (outcome.handle === undefined) {
        return { state, action: { type: "close_source_stream" } };
      }
      const cacheRef = toCacheRef(event, outcome.handle);
      return { state: { type: "stopped", runner: source, cacheRef } };
    }
    // Whether the run has stopped shows on its stream.
    case "no_such_run":
    case "already_copying":
    case "unreachable":
      return { state };
  }
}

// The stream is lost, but the target holds the copy made before.
function onStreamBroken(state: MigrationState): MigrationStep {
  switch (state.type) {
    case "copied":
    case "stopping": {
      const { target, cacheRef } = state;
      return { state: { type: "stopped", runner: target, cacheRef } };
    }
    case "idle":
    case "seeking":
    case "copying":
      return giveUp("the stream broke before a copy was made");
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
