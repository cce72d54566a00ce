/** Reference to a run's KV cache, from which another run can resume. */
export interface KvCacheRef {
  /** Address of the runner that issued the handle. */
  readonly host: string;
  readonly port: number;
  readonly handle: string;
}
