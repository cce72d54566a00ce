import type { ConfigDocument } from "@jujubeladder/types";
import { sha256Hex } from "@jujubeladder/utils";

const TEAM_IDS = ["team-a", "team-b", "team-c"];

/** A configuration document for tests; each team's token is its id. */
export function createConfig(
  changes: Partial<ConfigDocument> = {},
): ConfigDocument {
  return {
    revision: 1,
    publishedAtMs: Date.now(),
    weightStoreLoadsPerMinute: 60,
    objective: {
      stallTime: 1,
      tailLatency: 1,
      preemptions: 1,
      crossRegionTraffic: 0.5,
    },
    exceptions: [],
    services: [
      {
        type: "engine",
        serviceId: "writer",
        isIdempotent: true,
        kinds: [
          { kindId: "narrative", weight: 3, isShort: false },
          { kindId: "verdict", weight: 1, isShort: true },
        ],
      },
      {
        type: "plain",
        serviceId: "filing",
        routes: [
          { method: "GET", pathPrefix: "/tables", isIdempotent: true },
          { method: "POST", pathPrefix: "/submissions", isIdempotent: false },
        ],
      },
    ],
    teams: TEAM_IDS.map((teamId) => ({
      teamId,
      weight: 1,
      tokenSha256: sha256Hex(teamId),
    })),
    targets: [],
    ...changes,
    defaults: {
      maxAttempts: 3,
      retryBudgetPercent: 20,
      silenceMs: 2_000,
      resumeWindowMs: 15_000,
      queueTimeoutMs: 20_000,
      requestTimeoutMs: 20_000,
      maxTokens: 5_000,
      admissionQuantile: 0.9,
      maxTeamShare: 0.5,
      ...changes.defaults,
    },
  };
}
