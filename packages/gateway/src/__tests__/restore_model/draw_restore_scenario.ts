import type { RestoreScenario } from "./restore_scenario.js";

const FIRST_RESTORE_AT_MS = 10_000;
const RESTORES = {
  short: { minAwayMs: 100, maxAwayMs: 600 },
  long: { minAwayMs: 1_500, maxAwayMs: 3_000 },
};
const MIN_COPY_AGE_MS = 500;
const MAX_COPY_AGE_MS = 9_000;
const MAX_GAP_MS = 4_000;
const MAX_CUT_MS = 5_000;
/** One in this many instances is cut off or restarts. */
const INSTANCES_PER_FAULT = 8;

/** Draws two restores in a row, beside cuts and restarts of some instances. */
export function drawRestoreScenario(
  instances: number,
  length: keyof typeof RESTORES,
  options: { readonly seed: number; readonly random: () => number },
): RestoreScenario {
  const { seed, random } = options;
  const between = (min: number, max: number) =>
    Math.round(min + random() * (max - min));
  const { minAwayMs, maxAwayMs } = RESTORES[length];
  const drawRestore = (atMs: number) => ({
    atMs,
    awayMs: between(minAwayMs, maxAwayMs),
    copyAgeMs: between(MIN_COPY_AGE_MS, MAX_COPY_AGE_MS),
  });
  const first = drawRestore(FIRST_RESTORE_AT_MS);
  const second = drawRestore(
    first.atMs + first.awayMs + between(0, MAX_GAP_MS),
  );
  const faultCount = Math.ceil(instances / INSTANCES_PER_FAULT);
  const pick = () => Math.floor(random() * instances);
  const drawAtMs = () =>
    between(
      FIRST_RESTORE_AT_MS - MAX_CUT_MS,
      second.atMs + second.awayMs + MAX_GAP_MS,
    );
  return {
    instances,
    seed,
    restores: [first, second],
    cuts: Array.from({ length: faultCount }, () => {
      const fromMs = drawAtMs();
      return {
        instance: pick(),
        fromMs,
        toMs: fromMs + between(200, MAX_CUT_MS),
        isFromPeers: random() < 0.5,
      };
    }),
    restarts: Array.from({ length: faultCount }, () => ({
      instance: pick(),
      atMs: drawAtMs(),
      awayMs: between(100, 1_000),
    })),
  };
}
