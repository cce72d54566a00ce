import type { Result } from "@jujubeladder/types";
import type { AttemptHead } from "./attempt_head.js";
import type { CallerRequest } from "./caller_request.js";
import type { GatewayConfig } from "./gateway_config.js";
import type { RunnerResponse } from "./runner_response.js";

/** Converts between a platform's wire format and the gateway's types. */
export interface GatewayCodec {
  /**
   * Decodes the head of a request. Headers are names and values, alternating;
   * the error describes what is malformed.
   */
  decodeRequest(head: {
    readonly method: string;
    readonly target: string;
    readonly headers: readonly string[];
  }): Result<CallerRequest, string>;
  /** Headers of a request to a runner: names and values, alternating. */
  encodeAttempt(request: CallerRequest, attempt: AttemptHead): string[];
  /** Decodes the head of a runner's response. */
  decodeResponse(
    statusCode: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): RunnerResponse;
  /** Parses and validates a configuration; the error describes the fault. */
  decodeConfig(text: string): Result<GatewayConfig, string>;
  /** Headers of a response that the gateway generates itself. */
  encodeOwnResponse(requestId: string | undefined): string[];
}
