/** Limits on the evidence that instances tell; more is neither sent nor read. */
export const PART_EVIDENCE_LIMITS = {
  parts: 16,
  lossesPerPart: 8,
  /** Ids come from callers and peers; those of runners have up to 200. */
  idLength: 256,
} as const;
