import type { RunnerAddress } from "./runner_address.js";

/** Returns the origin of a runner's URLs. */
export function toOrigin({ host, port }: RunnerAddress): string {
  return `http://${host}:${port}`;
}
