import { createSeededRandom } from "@jujubeladder/standins";
import type { Arrival } from "./arrival.js";
import type { Deployment } from "./deployment.js";

const DURATION_MS = 90_000;
const BURST_START_MS = 40_000;
const BURST_END_MS = 50_000;
const BURST_FACTOR = 2;
const LARGE_TEAM_SHARE = 0.35;

/**
 * Generates a deployment's trace: Poisson arrivals with one burst and
 * heavy-tailed (log-normal) output lengths.
 */
export function generateArrivals(
  deployment: Deployment,
  options: { readonly seed: number; readonly requestsPerSecond: number },
): readonly Arrival[] {
  const random = createSeededRandom(options.seed);
  const arrivals: Arrival[] = [];
  let atMs = 0;
  for (;;) {
    const isBurst = atMs >= BURST_START_MS && atMs < BURST_END_MS;
    const rate = options.requestsPerSecond * (isBurst ? BURST_FACTOR : 1);
    atMs += (-Math.log(1 - random()) * 1_000) / rate;
    if (atMs > DURATION_MS) return arrivals;
    arrivals.push(generateArrival(deployment, random, atMs));
  }
}

function generateArrival(
  deployment: Deployment,
  random: () => number,
  atMs: number,
): Arrival {
  const kind = pickKind(deployment, random());
  const prompt = kind.meanPromptTokens * (0.5 + random());
  const normal =
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  const length = kind.medianOutputTokens * Math.exp(kind.sigma * normal);
  return {
    requestId: `${Math.floor(random() * Number.MAX_SAFE_INTEGER)}`,
    atMs,
    instance: Math.floor(random() * deployment.instances),
    teamId: pickTeam(deployment, random),
    kindId: kind.kindId,
    isShort: kind.isShort,
    weight: kind.weight,
    promptTokens: Math.round(prompt),
    outputTokens: Math.max(
      2,
      Math.min(kind.maxOutputTokens, Math.round(length)),
    ),
  };
}

function pickKind(
  deployment: Deployment,
  share: number,
): Deployment["kinds"][number] {
  let sum = 0;
  for (const kind of deployment.kinds) {
    sum += kind.share;
    if (share < sum) return kind;
  }
  const lastKind = deployment.kinds.at(-1);
  if (!lastKind) throw new Error("Deployment has no request kinds");
  return lastKind;
}

// Each large team sends LARGE_TEAM_SHARE of the requests; the other teams share
// the rest evenly.
function pickTeam(deployment: Deployment, random: () => number): string {
  const { largeTeams, teams } = deployment;
  const share = random();
  const largeIndex = Math.floor(share / LARGE_TEAM_SHARE);
  if (largeIndex < largeTeams) return `team-${largeIndex + 1}`;
  const smallIndex = largeTeams + Math.floor(random() * (teams - largeTeams));
  return `team-${smallIndex + 1}`;
}
