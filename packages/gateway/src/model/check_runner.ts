import { isIPv4 } from "node:net";
import type { Result } from "@jujubeladder/types";
import { monotonicMs } from "@jujubeladder/utils";
import type { GatewayRunner } from "./gateway_runner.js";

/** Visible ASCII, since the id is sent in a header; keys have 200 bytes. */
const RUNNER_ID = /^[!-~]{1,200}$/;
const MAX_NAME_LENGTH = 200;
const MAX_PORT = 65_535;
const MAX_SLOTS = 65_535;
/** Far longer than any runner takes to warm up. */
const MAX_COLD_MS = 3_600_000;

/** A runner's entry as a store or a peer lists it, with its types checked. */
interface RunnerEntry extends Omit<GatewayRunner, "warmAtMs"> {
  /** Remaining time for which it is slow after its start; 0 or less if none. */
  readonly coldLeftMs: number;
}

/**
 * Checks an entry that another process wrote for all that later code needs: an
 * address to connect to, and numbers that can be reckoned with and sent to
 * peers. An error says what is odd.
 */
export function checkRunner(entry: RunnerEntry): Result<GatewayRunner, string> {
  const { coldLeftMs, ...runner } = entry;
  const oddField = findOddField(entry);
  if (oddField !== undefined) {
    return { ok: false, error: `${oddField} is out of range` };
  }
  const warmAtMs = monotonicMs() + Math.max(0, coldLeftMs);
  return { ok: true, value: { ...runner, warmAtMs } };
}

function findOddField(entry: RunnerEntry): keyof RunnerEntry | undefined {
  const { slots, startedAtMs, coldLeftMs } = entry;
  if (!RUNNER_ID.test(entry.runnerId)) return "runnerId";
  if (!isName(entry.serviceId)) return "serviceId";
  if (!isName(entry.availabilityZone)) return "availabilityZone";
  if (!isName(entry.region)) return "region";
  if (!isName(entry.softwareVersion)) return "softwareVersion";
  if (!isIPv4(entry.host)) return "host";
  if (!isWhole(entry.port, { min: 1, max: MAX_PORT })) return "port";
  if (!isWhole(slots, { min: 1, max: MAX_SLOTS })) return "slots";
  if (!isWhole(startedAtMs, { min: 0, max: Number.MAX_SAFE_INTEGER })) {
    return "startedAtMs";
  }
  // Also false for NaN.
  return Math.abs(coldLeftMs) <= MAX_COLD_MS ? undefined : "coldLeftMs";
}

function isName(text: string): boolean {
  return text.length <= MAX_NAME_LENGTH;
}

function isWhole(
  value: number,
  { min, max }: { readonly min: number; readonly max: number },
): boolean {
  return Number.isInteger(value) && value >= min && value <= max;
}
