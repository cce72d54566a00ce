import type { ObjectiveWeights } from "@jujubeladder/types";

/** The shape of a kind's requests. */
interface KindShape {
  readonly kindId: string;
  readonly isShort: boolean;
  /** Weight of a completed request in the measured sum. */
  readonly weight: number;
  /** Share of all requests. */
  readonly share: number;
  readonly meanPromptTokens: number;
  readonly medianOutputTokens: number;
  /** Spread of the log-normal body of the output length. */
  readonly sigma: number;
  readonly maxOutputTokens: number;
}

/** What a deployment looks like to the measurement. */
export interface Deployment {
  readonly name: string;
  readonly instances: number;
  readonly engines: number;
  readonly regions: number;
  readonly teams: number;
  readonly largeTeams: number;
  readonly capacityTokens: number;
  readonly kinds: readonly KindShape[];
  readonly objective: ObjectiveWeights;
}
