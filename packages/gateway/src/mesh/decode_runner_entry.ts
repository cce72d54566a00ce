import type { RunnerEntry } from "@jujubeladder/protocol";
import { monotonicMs } from "@jujubeladder/utils";
import type { RunnerChange } from "../model/runner_change.js";

/** Decodes one runner, or its removal, from a peer's response. */
export function decodeRunnerEntry(entry: RunnerEntry): RunnerChange {
  const { runnerId } = entry;
  if (entry.isRemoved) return { type: "removed", runnerId };
  const { serviceId, host, port, region, availabilityZone, slots } = entry;
  return {
    type: "put",
    runner: {
      runnerId,
      serviceId,
      host,
      port,
      region,
      availabilityZone,
      slots,
      state: entry.isLeaving ? "leaving" : "live",
      startedAtMs: Number(entry.startedAtMs),
      warmAtMs: monotonicMs() + entry.coldLeftMs,
    },
  };
}
