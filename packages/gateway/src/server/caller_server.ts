import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { Quarantine } from "@jujubeladder/coordination";
import type { Logger } from "@jujubeladder/logger";
import type { Metrics } from "@jujubeladder/metrics";
import { monotonicMs } from "@jujubeladder/utils";
import { toRefusalStatus } from "../decisions/to_refusal_status.js";
import type { CallerRequest } from "../model/caller_request.js";
import type { GatewayCodec } from "../model/gateway_codec.js";
import type { Refusal } from "../model/refusal.js";
import type { CallerAnswer } from "../relay/caller_answer.js";
import type { FinalOutcome } from "../relay/final_outcome.js";
import type { RequestRelay } from "../relay/request_relay.js";
import type { ConfigInForce } from "../views/config_in_force.js";
import { admitRequest } from "./admit_request.js";
import { HttpCallerAnswer } from "./http_caller_answer.js";
import { readBody } from "./read_body.js";

/** Bound on heads; above what operators allow, so that theirs decides. */
const MAX_HEAD_BYTES = 65_536;
/** A whole request, body included, must have arrived by then. */
const REQUEST_TIMEOUT_MS = 60_000;
/** Bodies held at once; a quarter of the smallest machine's memory. */
const MAX_HELD_BYTES = 48 * 1_048_576;
/** Idle connections are kept this much longer than callers may use them. */
const IDLE_MARGIN_MS = 1_000;
const DEFAULT_MAX_BODY_BYTES = 4_194_304;
const MS_PER_SECOND = 1_000;

/** The parts that the server works with. */
interface CallerServerParts {
  readonly codec: GatewayCodec;
  readonly config: ConfigInForce;
  readonly relay: RequestRelay;
  readonly quarantine: Quarantine;
  /** Oldest proof of validity that API keys are accepted on. */
  readonly keyProofMaxAgeMs: number | undefined;
  /** Time until this instance exits; undefined while it does not stop. */
  readonly stopLeftMs: () => number | undefined;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** Takes callers' requests, admits or refuses them, and has them served. */
export class CallerServer {
  readonly #parts: CallerServerParts;
  readonly #server: Server;
  #activeCount = 0;
  #heldBytes = 0;
  #lastRequestAtMs = 0;

  constructor(parts: CallerServerParts) {
    this.#parts = parts;
    this.#server = createServer(
      { maxHeaderSize: MAX_HEAD_BYTES, requestTimeout: REQUEST_TIMEOUT_MS },
      (request, response) => {
        void this.#handle(request, response);
      },
    );
    this.#server.on("clientError", (error, socket) => {
      this.#answerUnreadable(error, socket as Socket);
    });
    this.#applyLimits();
    parts.config.events.on("changed", () => {
      this.#applyLimits();
    });
  }

  get activeCount(): number {
    return this.#activeCount;
  }

  /** Milliseconds since the last request arrived. */
  get quietMs(): number {
    return monotonicMs() - this.#lastRequestAtMs;
  }

  async listen(address: {
    readonly host: string;
    readonly port: number;
  }): Promise<void> {
    this.#server.listen(address.port, address.host);
    await once(this.#server, "listening");
  }

  /** Ends all connections, whatever is on them. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #applyLimits(): void {
    const limits = this.#parts.config.config?.limits;
    if (!limits) return;
    const { headTimeoutMs, idleTimeoutMs } = limits;
    this.#server.keepAliveTimeout = idleTimeoutMs + IDLE_MARGIN_MS;
    // A connection that has sent nothing yet is idle, not slow.
    this.#server.headersTimeout = Math.max(headTimeoutMs, idleTimeoutMs);
  }

  async #handle(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const receivedAtMs = monotonicMs();
    this.#lastRequestAtMs = receivedAtMs;
    const { metrics } = this.#parts;
    const answer = new HttpCallerAnswer(
      response,
      () => this.#parts.stopLeftMs() !== undefined,
    );
    this.#activeCount += 1;
    metrics.count("requests");
    let heldBytes = 0;
    try {
      const maxBytes = Math.min(
        this.#parts.config.config?.limits.maxBodyBytes ??
          DEFAULT_MAX_BODY_BYTES,
        MAX_HELD_BYTES - this.#heldBytes,
      );
      const read = await readBody(incoming, maxBytes);
      if (read.type === "torn") return;
      if (read.type === "too_large") {
        response.shouldKeepAlive = false;
        this.#refuse(answer, { type: "body_too_large" });
        return;
      }
      heldBytes = read.body.length;
      this.#heldBytes += heldBytes;
      await this.#serve(incoming, { answer, body: read.body, receivedAtMs });
    } finally {
      this.#activeCount -= 1;
      this.#heldBytes -= heldBytes;
      metrics.record("answer_ms", monotonicMs() - receivedAtMs);
    }
  }

  async #serve(
    incoming: IncomingMessage,
    received: {
      readonly answer: CallerAnswer;
      readonly body: Buffer;
      readonly receivedAtMs: number;
    },
  ): Promise<void> {
    const { codec, relay } = this.#parts;
    const decoded = codec.decodeRequest({
      method: incoming.method ?? "",
      target: incoming.url ?? "",
      headers: incoming.rawHeaders,
    });
    if (!decoded.ok) {
      const refusal = { type: "malformed", reason: decoded.error } as const;
      this.#refuse(received.answer, refusal);
      return;
    }
    const request = decoded.value;
    const admitted = admitRequest(request, received, this.#parts);
    if (!admitted.ok) {
      this.#finish(request, received, {
        type: "refused",
        refusal: admitted.error,
      });
      return;
    }
    const outcome = await relay.serve(admitted.value);
    this.#finish(request, received, outcome);
  }

  #finish(
    request: CallerRequest,
    received: { readonly answer: CallerAnswer; readonly receivedAtMs: number },
    outcome: FinalOutcome,
  ): void {
    const { config, logger, metrics } = this.#parts;
    const refusal = outcome.type === "refused" ? outcome.refusal : undefined;
    if (refusal) this.#refuse(received.answer, refusal, request.requestId);
    if (outcome.type === "caller_left") metrics.count("callers_left");
    if (outcome.type === "cut") metrics.count("answers_cut");
    logger.info("request", {
      request: request.requestId,
      target: request.target,
      outcome: refusal ? refusal.type : outcome.type,
      status:
        outcome.type === "delivered"
          ? outcome.statusCode
          : refusal && toRefusalStatus(refusal),
      reason:
        outcome.type === "cut"
          ? outcome.reason
          : refusal && "reason" in refusal
            ? refusal.reason
            : undefined,
      retry_after_ms:
        refusal?.type === "not_run" ? refusal.retryAfterMs : undefined,
      config_version: config.version,
      config_age_ms: config.confirmedAgeMs,
      took_ms: monotonicMs() - received.receivedAtMs,
    });
  }

  #refuse(answer: CallerAnswer, refusal: Refusal, requestId?: string): void {
    if (answer.hasBegun || answer.gone.aborted) return;
    this.#parts.metrics.count("refusals");
    const reason = "reason" in refusal ? refusal.reason : refusal.type;
    const body = Buffer.from(
      JSON.stringify({ error: { type: refusal.type, reason } }),
    );
    const retry =
      refusal.type === "not_run"
        ? ["retry-after", (refusal.retryAfterMs / MS_PER_SECOND).toFixed(2)]
        : [];
    answer.begin(toRefusalStatus(refusal), [
      ...this.#parts.codec.encodeOwnAnswer(requestId),
      "content-type",
      "application/json",
      "content-length",
      String(body.length),
      ...retry,
    ]);
    answer.end(body);
  }

  #answerUnreadable(error: Error, socket: Socket): void {
    const { code } = error as { readonly code?: string };
    if (code === "ECONNRESET" || !socket.writable) {
      socket.destroy();
      return;
    }
    this.#parts.logger.warn("unreadable_request", { reason: code });
    const status =
      code === "HPE_HEADER_OVERFLOW"
        ? "431 Request Header Fields Too Large"
        : code === "ERR_HTTP_REQUEST_TIMEOUT"
          ? "408 Request Timeout"
          : "400 Bad Request";
    socket.end(
      `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
    );
  }
}
