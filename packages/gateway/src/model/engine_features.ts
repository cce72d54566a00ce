/** What the model engines of a service can do and hold. */
export interface EngineFeatures {
  /** Requests that run at once. */
  readonly slots: number;
  readonly memoryTokens: number;
  /** The memory of a running request can be copied to another runner. */
  readonly canMove: boolean;
  /** A runner can keep a copy up to date while the request runs. */
  readonly canBackUp: boolean;
  /** Output tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  /** Bytes of memory for one token. */
  readonly bytesPerToken: number;
  readonly linkMbps: number;
}
