import type { NoticeOrigin } from "./notice_origin.js";

/**
 * Who stated that a runner is leaving: its entry in the store (`listed`), a new
 * start under its id (`replaced`), the runner itself, or a peer that heard one
 * of these.
 */
export type LeavingSource =
  NoticeOrigin["source"] | "listed" | "replaced" | "peer";
