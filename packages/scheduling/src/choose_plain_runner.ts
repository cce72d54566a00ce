import type { Runner } from "@jujubeladder/types";

/** Inputs for choosing the runner of a plain service. */
interface PlainChoice {
  readonly region: string;
  readonly activeCalls: (runnerId: string) => number;
  readonly random: () => number;
}

/**
 * Chooses the less busy of two random runners, preferring the local region.
 * Power of two choices keeps instances from all picking the same runner.
 */
export function choosePlainRunner(
  runners: readonly Runner[],
  choice: PlainChoice,
): Runner | undefined {
  const sameRegion = runners.filter(
    (runner) => runner.region === choice.region,
  );
  const pool = sameRegion.length > 0 ? sameRegion : runners;
  const first = pickRandom(pool, choice.random);
  const second = pickRandom(pool, choice.random);
  if (!first || !second) return undefined;
  const firstCalls = choice.activeCalls(first.runnerId);
  return firstCalls <= choice.activeCalls(second.runnerId) ? first : second;
}

function pickRandom(
  runners: readonly Runner[],
  random: () => number,
): Runner | undefined {
  return runners[Math.floor(random() * runners.length)];
}
