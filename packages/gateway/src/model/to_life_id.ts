import type { GatewayRunner } from "./gateway_runner.js";

/** Names one life of a runner, which may start again under its id. */
export function toLifeId(runner: GatewayRunner): string {
  return `${runner.runnerId}@${runner.startedAtMs}`;
}
