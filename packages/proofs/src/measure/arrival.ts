/** One request of a recorded trace. */
export interface Arrival {
  readonly requestId: string;
  readonly atMs: number;
  readonly instance: number;
  readonly teamId: string;
  readonly kindId: string;
  readonly isShort: boolean;
  readonly weight: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
}
