/** Capabilities and capacity of a service's model engines. */
export interface EngineFeatures {
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** KV cache capacity. */
  readonly kvCacheTokens: number;
  /** The KV cache of a running request can be copied to another runner. */
  readonly canMigrate: boolean;
  /** Another runner can maintain a backup while the request runs. */
  readonly canBackUp: boolean;
  /** Output tokens per event of a stream. */
  readonly tokensPerEvent: number;
  /** KV cache size of one token. */
  readonly bytesPerToken: number;
  readonly linkMbps: number;
}
