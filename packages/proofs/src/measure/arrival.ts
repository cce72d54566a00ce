/** One request of a generated trace. */
export interface Arrival {
  readonly requestId: string;
  readonly atMs: number;
  /** Index of the instance that receives the request. */
  readonly instance: number;
  readonly teamId: string;
  readonly kindId: string;
  readonly isShort: boolean;
  /** Weight of the request in `completedWeighted`. */
  readonly weight: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
}
