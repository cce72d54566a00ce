/** Why a configuration document is refused: the key and the remedy. */
export interface ConfigError {
  readonly key: string;
  readonly problem: string;
  readonly remedy: string;
}
