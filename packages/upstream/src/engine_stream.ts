import type { EngineEvent } from "./engine_event.js";

/** An open stream of one generation on its own connection. */
export interface EngineStream {
  readonly events: AsyncGenerator<EngineEvent, void, void>;
  /** Closes the connection; the generation can be resumed for a while. */
  readonly close: () => void;
}
