/** A validation error: the key at fault, the problem and its remedy. */
export interface ConfigError {
  readonly key: string;
  readonly problem: string;
  readonly remedy: string;
}
