import type { ConfigDocument } from "@jujubeladder/types";

/** Returns a minimal valid document with the given changes. */
export function createDocument(
  changes: Partial<ConfigDocument> = {},
): ConfigDocument {
  return {
    revision: 1,
    publishedAtMs: 1_000,
    weightStoreLoadsPerMinute: 10,
    defaults: {
      maxAttempts: 3,
      retryBudgetPercent: 10,
      silenceMs: 1_000,
      resumeWindowMs: 1_000,
      queueTimeoutMs: 1_000,
      requestTimeoutMs: 1_000,
      maxTokens: 100,
      admissionQuantile: 0.9,
      maxTeamShare: 0.5,
    },
    objective: {
      stallTime: 1,
      tailLatency: 1,
      preemptions: 1,
      crossRegionTraffic: 1,
    },
    exceptions: [],
    services: [
      {
        type: "engine",
        serviceId: "writer",
        isIdempotent: true,
        kinds: [{ kindId: "narrative", weight: 1, isShort: false }],
      },
    ],
    teams: [{ teamId: "a", weight: 1, tokenSha256: "0".repeat(64) }],
    targets: [],
    ...changes,
  };
}
