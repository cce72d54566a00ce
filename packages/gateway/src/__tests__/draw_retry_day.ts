import type { RetryDay } from "./retry_day.js";

const DURATION_MS = 70_000;
const FIRST_FAULT_MS = 15_000;
const LAST_FAULT_MS = 45_000;

/** Sizes, load and slack as on the users' sites. */
const FLEETS = {
  9: { engineCount: 10, requestsPerSecond: 15, fleetSlack: 58 },
  77: { engineCount: 42, requestsPerSecond: 49, fleetSlack: 194 },
  195: { engineCount: 100, requestsPerSecond: 125, fleetSlack: 500 },
};

/** Draws the faults of one day for a fleet of `instanceCount`. */
export function drawRetryDay(
  instanceCount: keyof typeof FLEETS,
  random: () => number,
): RetryDay {
  const atMs = () =>
    FIRST_FAULT_MS + random() * (LAST_FAULT_MS - FIRST_FAULT_MS);
  const repeat = <Fault>(most: number, draw: () => Fault): readonly Fault[] =>
    Array.from({ length: Math.floor(random() * (most + 1)) }, draw);
  const failures = repeat(2, () => {
    const fromMs = atMs();
    const toMs = fromMs + 2_000 + random() * 18_000;
    return { fromMs, toMs, ratio: 0.2 + random() * 0.8 };
  });
  const notices = repeat(4, () => ({
    atMs: atMs(),
    share: 0.1 + random() * 0.5,
  }));
  const restarts = repeat(3, () => ({
    atMs: atMs(),
    share: 0.1 + random() * 0.5,
    kind: random() < 0.5 ? ("kill" as const) : ("roll" as const),
  }));
  const sizes = repeat(2, () => ({
    atMs: atMs(),
    factor: 0.5 + random() * 1.5,
  }));
  const sizeLagMs = 500 + random() * 7_500;
  return {
    ...FLEETS[instanceCount],
    instanceCount,
    durationMs: DURATION_MS,
    sizeLagMs,
    failures,
    notices,
    restarts,
    sizes,
  };
}
