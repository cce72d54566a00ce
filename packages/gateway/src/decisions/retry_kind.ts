/**
 * What an attempt beyond the first of its request is for: a new run, or going
 * on with a stopped run that its caller may be receiving.
 */
export type RetryKind = "retry" | "resumption";
