import type { EngineStream } from "./engine_stream.js";

/**
 * Outcome of opening or resuming a generation stream. Only `refused` and
 * `unreachable` guarantee that this attempt did not start a generation;
 * `missing` means that the runner does not know the generation.
 */
export type OpenOutcome =
  | { readonly type: "opened"; readonly stream: EngineStream }
  | {
      readonly type: "refused";
      readonly reason: string;
      readonly isLeaving: boolean;
    }
  | { readonly type: "unreachable"; readonly reason: string }
  | { readonly type: "missing" }
  | { readonly type: "unknown"; readonly reason: string };
