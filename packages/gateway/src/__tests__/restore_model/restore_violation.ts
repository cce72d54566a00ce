/** What an instance of a restore model did wrong. */
export type RestoreViolation =
  /** Its configuration went back. */
  | "version_back"
  /** It accepts keys by a version that has been over for too long. */
  | "keys_of_old_version"
  /** It is in touch and lacks a version for too long. */
  | "version_late"
  /** It is in touch and refuses keys for too long. */
  | "keys_refused"
  /** It has not used a live runner for too long since that was listed. */
  | "live_runner_lost"
  /** It uses a runner of which it knew that it had left. */
  | "gone_runner_used"
  /** It is in touch and uses a runner that the store has long not listed. */
  | "list_differs";
