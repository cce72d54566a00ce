import type { FleetRetryBudget } from "./fleet_retry_budget.js";

/** Returns the gauges of the retry budget in the Prometheus text format. */
export function formatRetryBudget(budget: FleetRetryBudget): readonly string[] {
  return budget.listServices().flatMap((serviceId) => {
    const { spent, allowed } = budget.getUse(serviceId);
    const label = `{service=${JSON.stringify(serviceId)}}`;
    return [
      `jujubeladder_retry_budget_spent${label} ${spent}`,
      `jujubeladder_retry_budget_allowed${label} ${allowed.toFixed(2)}`,
    ];
  });
}
