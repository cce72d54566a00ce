import type { RecordedAnswer } from "./recorded_answer.js";
import type { RecordedStream } from "./recorded_stream.js";

/** All that a replay recorded. */
export interface Recording {
  readonly answers: Map<string, RecordedAnswer>;
  readonly streams: Map<string, RecordedStream>;
  /** When each runner was told, or shown, to be leaving. */
  readonly leftAtMs: Map<string, number>;
  /** Violations seen while the trace ran. */
  readonly violations: string[];
}
