import type { GatewayRunner } from "../model/gateway_runner.js";
import type { KeptMemory } from "../model/kept_memory.js";
import type { MoveEvent } from "./move_event.js";
import type { MoveState } from "./move_state.js";
import type { MoveStep } from "./move_step.js";

/** Targets without room that a move tries before it gives up. */
const MAX_REFUSALS = 3;

type CopyAnswered = Extract<MoveEvent, { type: "copy_answered" }>;
type Moving = Extract<MoveState, { type: "copying" | "stopping" }>;

/**
 * Advances the move of one run: copy while it runs, then stop it and copy the
 * rest. A run is never asked to go on elsewhere before its runner has said
 * that it stopped.
 */
export function advanceMove(state: MoveState, event: MoveEvent): MoveStep {
  switch (event.type) {
    case "run_ended":
      return state.type === "stopped"
        ? { state }
        : { state: { type: "given_up", reason: "the run has ended" } };
    case "source_leaves":
      return state.type === "resting" ? begin(event) : { state };
    case "stream_broke":
      return afterBreak(state);
    case "copy_answered":
      return state.type === "copying" || state.type === "stopping"
        ? afterCopy(state, event)
        : { state };
  }
}

function begin(event: Extract<MoveEvent, { type: "source_leaves" }>): MoveStep {
  const { target } = event;
  if (!target) return giveUp("no runner has room");
  return {
    state: { type: "copying", target, refusals: 0 },
    order: { target, isFinal: false },
  };
}

function afterCopy(state: Moving, event: CopyAnswered): MoveStep {
  const { outcome, source } = event;
  switch (outcome.type) {
    case "copied":
      if (state.type === "copying") {
        return {
          state: {
            type: "stopping",
            target: state.target,
            refusals: state.refusals,
            memory: toMemory(event, outcome.handle),
          },
          order: { target: state.target, isFinal: true },
        };
      }
      return stopped(state.target, event, outcome.handle);
    case "refused":
      // A stopped source keeps the memory, so the run can go on there.
      if (outcome.handle !== undefined) {
        return stopped(source, event, outcome.handle);
      }
      return retry(state, event);
    case "no_such_run":
      return giveUp("the runner has no such run");
    case "already_copying":
      return giveUp("the run is being copied already");
    case "unreachable":
      // A source that was asked to stop may have; its stream will tell.
      return state.type === "stopping" ? { state } : giveUp(outcome.reason);
  }
}

// The source has gone, but what it copied before is at the target.
function afterBreak(state: MoveState): MoveStep {
  switch (state.type) {
    case "stopping": {
      const { target, memory } = state;
      return { state: { type: "stopped", runner: target, memory } };
    }
    case "resting":
    case "copying":
      return giveUp("the stream broke before a copy was made");
    case "stopped":
    case "given_up":
      return { state };
  }
}

function retry(state: Moving, event: CopyAnswered): MoveStep {
  const refusals = state.refusals + 1;
  const target = event.nextTarget;
  if (!target || refusals >= MAX_REFUSALS) return giveUp("no runner has room");
  return {
    state: { type: "copying", target, refusals },
    order: { target, isFinal: false },
  };
}

function stopped(
  runner: GatewayRunner,
  event: CopyAnswered,
  handle: string,
): MoveStep {
  const memory = toMemory(event, handle);
  return { state: { type: "stopped", runner, memory } };
}

function toMemory({ source }: CopyAnswered, handle: string): KeptMemory {
  return { host: source.host, port: source.port, handle };
}

function giveUp(reason: string): MoveStep {
  return { state: { type: "given_up", reason } };
}
