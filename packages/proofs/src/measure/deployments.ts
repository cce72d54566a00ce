import type { Deployment } from "./deployment.js";

const COMMON = {
  engines: 13,
  regions: 3,
  teams: 10,
  largeTeams: 2,
  capacityTokens: 16_000,
} as const;

/** The measured deployments at their current sizes. */
export const DEPLOYMENTS: readonly Deployment[] = [
  {
    ...COMMON,
    name: "pension_forecasts",
    instances: 9,
    objective: {
      stallTime: 2,
      tailLatency: 2,
      preemptions: 1,
      crossRegionTraffic: 0.2,
    },
    kinds: [
      {
        kindId: "narrative",
        isShort: false,
        weight: 3,
        share: 0.45,
        meanPromptTokens: 300,
        medianOutputTokens: 450,
        sigma: 0.9,
        maxOutputTokens: 6_000,
      },
      {
        kindId: "verdict",
        isShort: true,
        weight: 2,
        share: 0.55,
        meanPromptTokens: 250,
        medianOutputTokens: 16,
        sigma: 0.5,
        maxOutputTokens: 200,
      },
    ],
  },
  {
    ...COMMON,
    name: "detour_signage",
    instances: 8,
    objective: {
      stallTime: 1,
      tailLatency: 1,
      preemptions: 3,
      crossRegionTraffic: 0.4,
    },
    kinds: [
      {
        kindId: "plan",
        isShort: false,
        weight: 5,
        share: 0.35,
        meanPromptTokens: 500,
        medianOutputTokens: 600,
        sigma: 0.8,
        maxOutputTokens: 6_000,
      },
      {
        kindId: "sign_check",
        isShort: true,
        weight: 1,
        share: 0.65,
        meanPromptTokens: 200,
        medianOutputTokens: 24,
        sigma: 0.5,
        maxOutputTokens: 200,
      },
    ],
  },
];
