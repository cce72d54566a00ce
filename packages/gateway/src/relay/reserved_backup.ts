import type { RunBackup } from "../model/run_backup.js";

/** A backup, and the function that releases the KV cache reserved for it. */
export interface ReservedBackup extends RunBackup {
  readonly release: () => void;
}
