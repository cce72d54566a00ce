/** Byte budgets, clocks, deadlines, backoff, sealing and hashing. */
export { ByteBudget } from "./byte_budget.js";
export type { ClockReading } from "./clock_reading.js";
export { computeBackoffMs } from "./compute_backoff_ms.js";
export { computeFingerprint } from "./compute_fingerprint.js";
export { createId } from "./create_id.js";
export { Deadline } from "./deadline.js";
export { describeError } from "./describe_error.js";
export { maxElapsedMs } from "./max_elapsed_ms.js";
export { hash32 } from "./hash32.js";
export { sha256Hex } from "./sha256_hex.js";
export { monotonicMs } from "./monotonic_ms.js";
export { parseJson } from "./parse_json.js";
export { rankByRendezvous } from "./rank_by_rendezvous.js";
export { RendezvousOrder } from "./rendezvous_order.js";
export { readClocks } from "./read_clocks.js";
export { SealBox } from "./seal_box.js";
export { settleWithin } from "./settle_within.js";
export { sleep } from "./sleep.js";
