/** Size of a generation, as far as it is known when it arrives. */
export interface GenerationWork {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's estimate: right at the median, often far off. */
  readonly expectedOutputTokens?: number | undefined;
  /** Parts of the prompt in order; the last belongs to the request itself. */
  readonly prefixParts: readonly {
    readonly partId: string;
    readonly tokens: number;
  }[];
}
