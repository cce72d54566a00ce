import type { ConfigDocument } from "@jujubeladder/types";
import { sha256Hex } from "@jujubeladder/utils";

/** Configuration of the demo; `token` authenticates its only team. */
export function createDemoDocument(token: string): ConfigDocument {
  return {
    revision: 1,
    publishedAtMs: Date.now(),
    weightStoreLoadsPerMinute: 60,
    defaults: {
      maxAttempts: 3,
      retryBudgetPercent: 20,
      silenceMs: 2_000,
      resumeWindowMs: 10_000,
      queueTimeoutMs: 10_000,
      requestTimeoutMs: 30_000,
      maxTokens: 1_000,
      admissionQuantile: 0.9,
      maxTeamShare: 0.5,
    },
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
    teams: [{ teamId: "demo", weight: 1, tokenSha256: sha256Hex(token) }],
    targets: [],
  };
}
