import type { RecordedResponse } from "./recorded_response.js";
import type { RecordedStream } from "./recorded_stream.js";

/** Everything a replay recorded. */
export interface Recording {
  readonly responses: Map<string, RecordedResponse>;
  readonly streams: Map<string, RecordedStream>;
  /** When each runner was first told to leave or listed as leaving. */
  readonly leavingAtMs: Map<string, number>;
  /** Violations detected during the replay. */
  readonly violations: string[];
}
