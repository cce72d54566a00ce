/** Host and port on which a runner listens. */
export interface RunnerAddress {
  readonly host: string;
  readonly port: number;
}
