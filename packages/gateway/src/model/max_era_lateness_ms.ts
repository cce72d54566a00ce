/**
 * Answers of an earlier era of the store may be late by less, as no call takes
 * longer. If an earlier era is told for longer, the known one was an error.
 */
export const MAX_ERA_LATENESS_MS = 3_000;
