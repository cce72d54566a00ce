/**
 * Why a stream broke: nothing arrived in time, its connection ended, or what
 * arrived is not a stream of the generation.
 */
export type BreakCause = "silent" | "closed" | "invalid";
