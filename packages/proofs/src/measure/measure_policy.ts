import { createSeededRandom } from "@jujubeladder/standins";
import type { Arrival } from "./arrival.js";
import type { Deployment } from "./deployment.js";
import { LeastLoadPolicy } from "./least_load_policy.js";
import type { Policy } from "./policy.js";
import type { PolicyMetrics } from "./policy_metrics.js";
import type { PolicyName } from "./policy_name.js";
import { SchedulerPolicy } from "./scheduler_policy.js";
import { RoundRobinPolicy } from "./round_robin_policy.js";
import { Simulation } from "./simulation.js";

/** Replays one trace in simulation under one policy. */
export function measurePolicy(
  name: PolicyName,
  deployment: Deployment,
  options: { readonly seed: number; readonly arrivals: readonly Arrival[] },
): PolicyMetrics {
  const simulation = new Simulation(deployment);
  const policies = Array.from({ length: deployment.instances }, (_, index) =>
    createPolicy(name, deployment, {
      index,
      seed: options.seed,
      simulation,
    }),
  );
  return simulation.run(options.arrivals, policies);
}

function createPolicy(
  name: PolicyName,
  deployment: Deployment,
  options: {
    readonly index: number;
    readonly seed: number;
    readonly simulation: Simulation;
  },
): Policy {
  const { index, simulation } = options;
  const random = createSeededRandom(options.seed * 1_000 + index);
  switch (name) {
    case "round_robin":
      return new RoundRobinPolicy(index);
    case "least_load":
      return new LeastLoadPolicy(random);
    case "ours":
      return new SchedulerPolicy(deployment, {
        index,
        region: simulation.regionOfInstance(index),
        regionOf: (runnerId) => simulation.regionOfRunner(runnerId),
        nowMs: () => simulation.nowMs,
        random,
      });
  }
}
