import type { ObjectiveWeights } from "@jujubeladder/types";

/** Traffic profile of a request kind. */
interface KindProfile {
  readonly kindId: string;
  readonly isShort: boolean;
  /** Weight of a completed request in `completedWeighted`. */
  readonly weight: number;
  /** Share of all requests. */
  readonly share: number;
  readonly meanPromptTokens: number;
  readonly medianOutputTokens: number;
  /** Standard deviation of the logarithm of the output length. */
  readonly sigma: number;
  readonly maxOutputTokens: number;
}

/** Size, traffic mix and objective weights of a simulated deployment. */
export interface Deployment {
  readonly name: string;
  readonly instances: number;
  readonly engines: number;
  readonly regions: number;
  readonly teams: number;
  /** Teams that send most of the traffic. */
  readonly largeTeams: number;
  /** Tokens that fit in the KV cache of each engine. */
  readonly capacityTokens: number;
  readonly kinds: readonly KindProfile[];
  readonly objective: ObjectiveWeights;
}
