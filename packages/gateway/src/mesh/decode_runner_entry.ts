import type { RunnerEntry } from "@jujubeladder/protocol";
import type { Result } from "@jujubeladder/types";
import { checkRunner } from "../model/check_runner.js";
import type { RunnerChange } from "../model/runner_change.js";

/**
 * Decodes one runner, or its removal, from a peer's response. An error says why
 * the entry names no runner.
 */
export function decodeRunnerEntry(
  entry: RunnerEntry,
): Result<RunnerChange, string> {
  const { runnerId } = entry;
  if (entry.isRemoved)
    return { ok: true, value: { type: "removed", runnerId } };
  const { serviceId, host, port, region, availabilityZone, slots } = entry;
  const runner = checkRunner({
    runnerId,
    serviceId,
    host,
    port,
    region,
    availabilityZone,
    slots,
    softwareVersion: entry.softwareVersion,
    state: entry.isLeaving ? "leaving" : "live",
    startedAtMs: Number(entry.startedAtMs),
    coldLeftMs: entry.coldLeftMs,
  });
  return runner.ok
    ? { ok: true, value: { type: "put", runner: runner.value } }
    : runner;
}
