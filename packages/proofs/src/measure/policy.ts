import type { RunnerLoad } from "@jujubeladder/types";
import type { Arrival } from "./arrival.js";

/** A stream's hold, as far as a policy keeps one. */
interface Hold {
  readonly progress: (producedTokens: number) => void;
  readonly release: () => void;
}

/** What a policy answers to a request. */
type PolicyAnswer =
  | {
      readonly type: "placed";
      readonly runnerId: string;
      readonly hold: Hold;
    }
  | { readonly type: "refused" };

/** One instance's admission and placement under measurement. */
export interface Policy {
  submit(arrival: Arrival, answer: (given: PolicyAnswer) => void): void;
  updateLoad(load: RunnerLoad): void;
  setUsable(runnerIds: readonly string[]): void;
  noteFinished(arrival: Arrival): void;
  pump(): void;
}
