import type { EngineStream } from "./engine_stream.js";

/**
 * How an attempt to open or resume a generation ended. Only `refused` and
 * `unreachable` prove that this attempt started nothing.
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
