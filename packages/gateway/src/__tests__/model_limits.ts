/** Limits of the retry model, beside the slack of its day. */
export const MODEL_LIMITS = { ratio: 0.2, windowMs: 10_000 };
