import type { Result } from "@jujubeladder/types";
import type { AttemptHead } from "./attempt_head.js";
import type { CallerRequest } from "./caller_request.js";
import type { GatewayConfig } from "./gateway_config.js";
import type { RunnerAnswer } from "./runner_answer.js";

/** Translates between a platform's wire format and the gateway's types. */
export interface GatewayCodec {
  /** Headers are names and values, alternating. Errors say what is wrong. */
  decodeRequest(head: {
    readonly method: string;
    readonly target: string;
    readonly headers: readonly string[];
  }): Result<CallerRequest, string>;
  /** Headers of a request to a runner, names and values alternating. */
  encodeAttempt(request: CallerRequest, attempt: AttemptHead): string[];
  decodeAnswer(
    statusCode: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): RunnerAnswer;
  decodeConfig(text: string): Result<GatewayConfig, string>;
  /** Headers of an answer of the gateway's own. */
  encodeOwnAnswer(requestId: string | undefined): string[];
}
