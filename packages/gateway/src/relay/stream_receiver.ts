import type { RunnerAnswer } from "../model/runner_answer.js";
import type { StreamEvent } from "./stream_event.js";

/** Takes the events of a stream, in order. */
export interface StreamReceiver {
  onStart(head: RunnerAnswer): void;
  /**
   * `pause` holds the runner back while the caller reads slowly. An error
   * means that the event does not follow the last one.
   */
  onEvent(event: StreamEvent): "continue" | "pause" | "out_of_order";
  onDrain(resume: () => void): void;
}
