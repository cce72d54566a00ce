import type { Deployment } from "./deployment.js";
import { measurePolicy } from "./measure_policy.js";
import type { PolicyFigures } from "./policy_figures.js";
import type { PolicyName } from "./policy_name.js";
import { recordArrivals } from "./record_arrivals.js";

const POLICIES: readonly PolicyName[] = ["round_robin", "least_load", "ours"];
const RATES_PER_SECOND = [30, 35, 40, 45, 50, 55, 60, 70];
const TARGET_PREEMPTIONS = 50;

/** Finds the load at which least load preempts, and compares there. */
export function measureDeployment(
  deployment: Deployment,
  seeds: readonly number[],
  print: (line: string) => void,
): void {
  const rate = findRate(deployment, seeds);
  print(`deployment=${deployment.name} requests_per_second=${rate}`);
  const byPolicy = new Map<PolicyName, PolicyFigures[]>();
  for (const seed of seeds) {
    const arrivals = recordArrivals(deployment, {
      seed,
      requestsPerSecond: rate,
    });
    for (const name of POLICIES) {
      const figures = measurePolicy(name, deployment, { seed, arrivals });
      const all = byPolicy.get(name) ?? [];
      byPolicy.set(name, [...all, figures]);
      print(`  seed=${seed} policy=${name} ${formatFigures(figures)}`);
    }
  }
  printTargets(byPolicy, print);
}

function findRate(deployment: Deployment, seeds: readonly number[]): number {
  for (const requestsPerSecond of RATES_PER_SECOND) {
    const preemptions = seeds.map((seed) => {
      const options = { seed, requestsPerSecond };
      const arrivals = recordArrivals(deployment, options);
      const run = { seed, arrivals };
      return measurePolicy("least_load", deployment, run)
        .preemptionsPerThousand;
    });
    if (Math.min(...preemptions) >= TARGET_PREEMPTIONS) {
      return requestsPerSecond;
    }
  }
  return RATES_PER_SECOND.at(-1) ?? 1;
}

function formatFigures(figures: PolicyFigures): string {
  return Object.entries(figures)
    .map(([key, value]) => `${key}=${Number((value as number).toFixed(3))}`)
    .join(" ");
}

function printTargets(
  byPolicy: ReadonlyMap<PolicyName, readonly PolicyFigures[]>,
  print: (line: string) => void,
): void {
  const ours = byPolicy.get("ours") ?? [];
  const least = byPolicy.get("least_load") ?? [];
  const targets: readonly {
    readonly key: keyof PolicyFigures;
    readonly atMost?: number;
    readonly atLeast?: number;
  }[] = [
    { key: "preemptionsPerThousand", atMost: 0.1 },
    { key: "stallTotalMs", atMost: 0.2 },
    { key: "gapP99Ms", atMost: 0.5 },
    { key: "completedWeighted", atLeast: 1 },
  ];
  for (const { key, atMost, atLeast } of targets) {
    const ratios = ours.map((figures, index) => {
      const base = least[index]?.[key] ?? 0;
      return base === 0 ? 1 : figures[key] / base;
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
