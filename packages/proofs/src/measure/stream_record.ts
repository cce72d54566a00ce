import type { Arrival } from "./arrival.js";
import type { Policy } from "./policy.js";

type Decision = Parameters<Parameters<Policy["submit"]>[1]>[0];

/** A running stream in the simulation. */
export interface StreamRecord {
  readonly arrival: Arrival;
  readonly lease: Extract<Decision, { type: "placed" }>["lease"];
  readonly runnerId: string;
  lastTokenAtMs: number | undefined;
  stallMs: number;
  producedTokens: number;
}
