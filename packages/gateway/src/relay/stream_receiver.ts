import type { RunnerResponse } from "../model/runner_response.js";
import type { StreamEvent } from "./stream_event.js";

/** Receives the events of a stream in order. */
export interface StreamReceiver {
  onStart(head: RunnerResponse): void;
  /**
   * `pause` applies backpressure to the runner while the caller reads slowly;
   * `out_of_order` means that the event does not follow the previous one.
   */
  onEvent(event: StreamEvent): "continue" | "pause" | "out_of_order";
  /** Calls `resume` once when the caller can take more data. */
  onDrain(resume: () => void): void;
}
