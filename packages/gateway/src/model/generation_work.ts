/** Size of a generation, as far as it is known on arrival. */
export interface GenerationWork {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's estimate; correct at the median, but often far off. */
  readonly expectedOutputTokens?: number | undefined;
  /** Segments of the prompt in order; the last is unique to the request. */
  readonly prefixParts: readonly {
    readonly partId: string;
    readonly tokens: number;
  }[];
}
