import type { Deployment } from "./deployment.js";
import { measurePolicy } from "./measure_policy.js";
import type { PolicyMetrics } from "./policy_metrics.js";
import type { PolicyName } from "./policy_name.js";
import { generateArrivals } from "./generate_arrivals.js";

const POLICIES: readonly PolicyName[] = ["round_robin", "least_load", "ours"];
const RATES_PER_SECOND = [30, 35, 40, 45, 50, 55, 60, 70];
const MIN_PREEMPTIONS_PER_THOUSAND = 50;

/**
 * Compares all policies at the lowest request rate at which the least-load
 * baseline reaches MIN_PREEMPTIONS_PER_THOUSAND on every seed, or at the
 * highest rate if it reaches that at none.
 */
export function measureDeployment(
  deployment: Deployment,
  seeds: readonly number[],
  print: (line: string) => void,
): void {
  const rate = findPreemptingRate(deployment, seeds);
  print(`deployment=${deployment.name} requests_per_second=${rate}`);
  const byPolicy = new Map<PolicyName, PolicyMetrics[]>();
  for (const seed of seeds) {
    const arrivals = generateArrivals(deployment, {
      seed,
      requestsPerSecond: rate,
    });
    for (const name of POLICIES) {
      const metrics = measurePolicy(name, deployment, { seed, arrivals });
      const all = byPolicy.get(name) ?? [];
      byPolicy.set(name, [...all, metrics]);
      print(`  seed=${seed} policy=${name} ${formatMetrics(metrics)}`);
    }
  }
  printTargets(byPolicy, print);
}

function findPreemptingRate(
  deployment: Deployment,
  seeds: readonly number[],
): number {
  for (const requestsPerSecond of RATES_PER_SECOND) {
    const preemptions = seeds.map((seed) => {
      const options = { seed, requestsPerSecond };
      const arrivals = generateArrivals(deployment, options);
      const run = { seed, arrivals };
      return measurePolicy("least_load", deployment, run)
        .preemptionsPerThousand;
    });
    if (Math.min(...preemptions) >= MIN_PREEMPTIONS_PER_THOUSAND) {
      return requestsPerSecond;
    }
  }
  return RATES_PER_SECOND.at(-1) ?? 1;
}

function formatMetrics(metrics: PolicyMetrics): string {
  return Object.entries(metrics)
    .map(([key, value]) => `${key}=${Number((value as number).toFixed(3))}`)
    .join(" ");
}

function printTargets(
  byPolicy: ReadonlyMap<PolicyName, readonly PolicyMetrics[]>,
  print: (line: string) => void,
): void {
  const ours = byPolicy.get("ours") ?? [];
  const baseline = byPolicy.get("least_load") ?? [];
  const targets: readonly {
    readonly key: keyof PolicyMetrics;
    readonly atMost?: number;
    readonly atLeast?: number;
  }[] = [
    { key: "preemptionsPerThousand", atMost: 0.1 },
    { key: "stallTotalMs", atMost: 0.2 },
    { key: "gapP99Ms", atMost: 0.5 },
    { key: "completedWeighted", atLeast: 1 },
  ];
  for (const { key, atMost, atLeast } of targets) {
    const ratios = ours.map((metrics, index) => {
      const baselineValue = baseline[index]?.[key] ?? 0;
      return baselineValue === 0 ? 1 : metrics[key] / baselineValue;
    });
    const low = Math.min(...ratios);
    const high = Math.max(...ratios);
    const isMet = high <= (atMost ?? Infinity) && low >= (atLeast ?? -Infinity);
    print(
      `  target=${key} ratio_to_least_load=${low.toFixed(3)}..` +
        `${high.toFixed(3)} bound=${atMost ?? atLeast} is_met=${isMet}`,
    );
  }
}
