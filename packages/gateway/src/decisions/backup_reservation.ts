import type { GenerationWork } from "../model/generation_work.js";
import type { RunnerLoad } from "../model/runner_load.js";
import { estimatePeakTokens } from "./estimate_peak_tokens.js";
import type { ReservedLoad } from "./reserved_load.js";

/** KV cache that a run's backup occupies. It takes neither slot nor prefill. */
export class BackupReservation implements ReservedLoad {
  readonly runnerId: string;
  readonly load: RunnerLoad;

  constructor(runnerId: string, work: GenerationWork) {
    this.runnerId = runnerId;
    const peakTokens = estimatePeakTokens(work, 0);
    this.load = { requests: 0, peakTokens, unreadTokens: 0 };
  }
}
