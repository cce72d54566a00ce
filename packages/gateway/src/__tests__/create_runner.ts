import type { GatewayRunner } from "../model/gateway_runner.js";

/** Creates a runner with defaults for tests. */
export function createRunner(
  runnerId: string,
  changes: Partial<GatewayRunner> = {},
): GatewayRunner {
  return {
    runnerId,
    serviceId: "writer",
    host: "127.0.0.1",
    port: 1,
    region: "r1",
    availabilityZone: "r1-a",
    state: "live",
    slots: 4,
    softwareVersion: "v1",
    startedAtMs: 1,
    warmAtMs: 0,
    ...changes,
  };
}
