/**
 * What came of the last order to a run's source: its port was closed, its
 * address did not respond, or something answered, be it with a reset.
 */
export type SourceContact = "unknown" | "refused" | "silent" | "answered";
