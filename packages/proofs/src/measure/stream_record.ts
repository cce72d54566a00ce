import type { Arrival } from "./arrival.js";
import type { Policy } from "./policy.js";

type Answer = Parameters<Parameters<Policy["submit"]>[1]>[0];

/** A stream under way in the simulation. */
export interface StreamRecord {
  readonly arrival: Arrival;
  readonly hold: Extract<Answer, { type: "placed" }>["hold"];
  readonly runnerId: string;
  lastTokenAtMs: number | undefined;
  stallMs: number;
  producedTokens: number;
}
