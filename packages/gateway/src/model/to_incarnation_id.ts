import type { GatewayRunner } from "./gateway_runner.js";

/** Identifies one incarnation of a runner, which may restart under its id. */
export function toIncarnationId(runner: GatewayRunner): string {
  return `${runner.runnerId}@${runner.startedAtMs}`;
}
