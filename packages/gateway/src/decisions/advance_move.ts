import type { GatewayRunner } from "../model/gateway_runner.js";
import type { KeptMemory } from "../model/kept_memory.js";
import type { MoveEvent } from "./move_event.js";
import type { MoveState } from "./move_state.js";
import type { MoveStep } from "./move_step.js";

/**
 * Copies and searches without success until a move is given up. With the
 * pauses after them they cover the two seconds of a runner's notice.
 */
const MAX_TRIES = 17;

type CopyAnswered = Extract<MoveEvent, { type: "copy_answered" }>;
type Copying = Extract<MoveState, { type: "copying" }>;
type Stopping = Extract<MoveState, { type: "stopping" }>;

/**
 * Advances the move of one run: copy while it runs, then, as late as can be,
 * stop it and copy the rest, so that its caller waits for the rest only. A
 * run is asked to go on elsewhere only once its source has said that it
 * stopped, or its stream has broken.
 */
export function advanceMove(state: MoveState, event: MoveEvent): MoveStep {
  switch (event.type) {
    case "source_leaves":
      return state.type === "resting" ? copyOrSeek(event.target, 0) : { state };
    case "copy_answered":
      if (state.type === "copying") return afterCopy(state, event);
      if (state.type === "stopping") return afterStop(state, event);
      return { state };
    case "target_sought":
      return state.type === "seeking"
        ? copyOrSeek(event.target, state.tries)
        : { state };
    case "time_to_stop":
      return state.type === "copied" ? stop(state) : { state };
    case "stream_broke":
      return afterBreak(state);
    case "run_ended":
      return state.type === "stopped" ? { state } : giveUp("the run has ended");
  }
}

// A try that finds no target counts, so that the search ends.
function copyOrSeek(
  target: GatewayRunner | undefined,
  tries: number,
): MoveStep {
  if (tries >= MAX_TRIES) return giveUp("no runner has room");
  return target
    ? {
        state: { type: "copying", target, tries },
        order: { type: "copy", target, isFinal: false },
      }
    : {
        state: { type: "seeking", tries: tries + 1 },
        order: { type: "seek_later" },
      };
}

function afterCopy(state: Copying, event: CopyAnswered): MoveStep {
  const { outcome } = event;
  const { target } = state;
  const tries = state.tries + 1;
  switch (outcome.type) {
    case "copied": {
      const memory = toMemory(event, outcome.handle);
      return {
        state: { type: "copied", target, memory },
        order: { type: "wait_to_stop" },
      };
    }
    case "no_such_run":
      // A run begins with its first token, until which it can't be copied.
      return tries >= MAX_TRIES
        ? giveUp("the runner has no such run")
        : {
            state: { ...state, tries },
            order: { type: "copy_later", target },
          };
    case "refused":
      return copyOrSeek(event.nextTarget, tries);
    case "already_copying":
      return giveUp("the run is being copied already");
    case "unreachable":
      return giveUp(outcome.reason);
  }
}

function stop(state: Extract<MoveState, { type: "copied" }>): MoveStep {
  const { target } = state;
  return {
    state: { ...state, type: "stopping" },
    order: { type: "copy", target, isFinal: true },
  };
}

function afterStop(state: Stopping, event: CopyAnswered): MoveStep {
  const { outcome, source } = event;
  switch (outcome.type) {
    case "copied": {
      const memory = toMemory(event, outcome.handle);
      return { state: { type: "stopped", runner: state.target, memory } };
    }
    case "refused": {
      // A source that has stopped keeps the memory, so the run can go on
      // there. Without its word the run may be stalled; breaking its stream
      // lets it go on from the first copy.
      if (outcome.handle === undefined) {
        return { state, order: { type: "cut_source" } };
      }
      const memory = toMemory(event, outcome.handle);
      return { state: { type: "stopped", runner: source, memory } };
    }
    // The stream will tell whether the run has stopped.
    case "no_such_run":
    case "already_copying":
    case "unreachable":
      return { state };
  }
}

// The source has gone, but what it copied before is at the target.
function afterBreak(state: MoveState): MoveStep {
  switch (state.type) {
    case "copied":
    case "stopping": {
      const { target, memory } = state;
      return { state: { type: "stopped", runner: target, memory } };
    }
    case "resting":
    case "seeking":
    case "copying":
      return giveUp("the stream broke before a copy was made");
    case "stopped":
    case "given_up":
      return { state };
  }
}

function toMemory({ source }: CopyAnswered, handle: string): KeptMemory {
  return { host: source.host, port: source.port, handle };
}

function giveUp(reason: string): MoveStep {
  return { state: { type: "given_up", reason } };
}
