import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { PartQuarantine, Quarantine } from "@jujubeladder/coordination";
import type { Logger } from "@jujubeladder/logger";
import type { Metrics } from "@jujubeladder/metrics";
import { ConnectionTurns, monotonicMs } from "@jujubeladder/utils";
import { estimateRetryAfterMs } from "../decisions/estimate_retry_after_ms.js";
import { toRefusalStatus } from "../decisions/to_refusal_status.js";
import type { CallerRequest } from "../model/caller_request.js";
import type { GatewayCodec } from "../model/gateway_codec.js";
import type { Refusal } from "../model/refusal.js";
import type { CallerResponse } from "../relay/caller_response.js";
import type { FinalOutcome } from "../relay/final_outcome.js";
import type { RequestRelay } from "../relay/request_relay.js";
import type { ActiveConfig } from "../views/active_config.js";
import type { ActiveRequest } from "./active_request.js";
import { admitRequest } from "./admit_request.js";
import { CallerConnections } from "./caller_connections.js";
import { DenseUploads } from "./dense_uploads.js";
import { HttpCallerResponse } from "./http_caller_response.js";
import { logCutRequest } from "./log_cut_request.js";
import { logLateRequest } from "./log_late_request.js";
import type { ProcessLimits } from "./process_limits.js";
import { readBody } from "./read_body.js";
import { UploadMemory } from "./upload_memory.js";

/** Limit on request headers, above the limits that operators set. */
const MAX_HEADER_BYTES = 65_536;
/** Time in which a request, body included, must arrive. */
const REQUEST_TIMEOUT_MS = 60_000;
/**
 * For how long a refused body may go unread before its connection is closed, so
 * that its caller reads the refusal first.
 */
const LINGER_MS = 1_000;
/**
 * Idle connections stay open this much longer than the configured timeout, so
 * that a caller does not reuse a connection that is being closed.
 */
const IDLE_MARGIN_MS = 1_000;
/** Time-outs of its route for which a caller may take nothing of its answer. */
const TAKE_TIMEOUTS = 2;
/** Another instance may run another version of the program. */
const FAILED_RETRY_MS = 500;
const DEFAULT_MAX_BODY_BYTES = 4_194_304;
const MS_PER_SECOND = 1_000;

/** Dependencies of the server. */
interface CallerServerDependencies {
  readonly codec: GatewayCodec;
  readonly activeConfig: ActiveConfig;
  readonly relay: RequestRelay;
  readonly quarantine: Quarantine;
  readonly partQuarantine: PartQuarantine;
  /**
   * API keys are rejected if the configuration was last confirmed longer ago
   * than this; undefined sets no limit.
   */
  readonly maxKeyConfigAgeMs: number | undefined;
  /**
   * When this instance exits, on the monotonic clock; undefined unless it is
   * stopping.
   */
  readonly exitAtMs: () => number | undefined;
  readonly limits: Pick<
    ProcessLimits,
    | "bodiesBytes"
    | "parsedHeadsBytes"
    | "headsBytes"
    | "answersBytes"
    | "maxCallerConnections"
  >;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** HTTP server for callers: admits or refuses requests and relays them. */
export class CallerServer {
  readonly #dependencies: CallerServerDependencies;
  readonly #server: Server;
  readonly #active = new Set<ActiveRequest>();
  readonly #connections: CallerConnections;
  readonly #turns = new ConnectionTurns();
  readonly #bodyMemory: UploadMemory;
  readonly #denseUploads = new DenseUploads();
  #lastRequestAtMs = 0;

  constructor(dependencies: CallerServerDependencies) {
    this.#dependencies = dependencies;
    const { limits, metrics, logger } = dependencies;
    this.#bodyMemory = new UploadMemory(
      limits.bodiesBytes,
      limits.parsedHeadsBytes,
    );
    this.#connections = new CallerConnections({
      maxConnections: limits.maxCallerConnections,
      maxHeadBytes: limits.headsBytes,
      maxAnswerBytes: limits.answersBytes,
      onEvicted: (reason) => {
        metrics.count("connections_evicted");
        logger.warn("connection_evicted", {
          reason,
          connections: this.#connections.size,
        });
      },
    });
    this.#server = createServer(
      { maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: REQUEST_TIMEOUT_MS },
      (request, response) => {
        void this.#handle(request, response);
      },
    );
    this.#paceConnections();
    this.#server.on("clientError", (error, socket) => {
      this.#rejectUnparsable(error, socket as Socket);
    });
    this.#applyLimits();
    dependencies.activeConfig.events.on("changed", () => {
      this.#applyLimits();
    });
  }

  get activeCount(): number {
    return this.#active.size;
  }

  /** Milliseconds since the last request arrived. */
  get sinceLastRequestMs(): number {
    return monotonicMs() - this.#lastRequestAtMs;
  }

  async listen(address: {
    readonly host: string;
    readonly port: number;
  }): Promise<void> {
    this.#server.listen(address.port, address.host);
    await once(this.#server, "listening");
  }

  /**
   * Gives up the requests in progress: those without a response head are told
   * what is known of them, the others are cut. Returns how many are cut.
   */
  giveUpAll(): number {
    const { logger } = this.#dependencies;
    const cut = [...this.#active].filter(({ response }) => response.isHeadSent);
    for (const active of cut) logCutRequest(logger, active);
    for (const { response } of this.#active) response.cancel();
    return cut.length;
  }

  /** Closes connections that take too much memory or too much time. */
  evictConnections(): void {
    this.#connections.evictHeads();
    this.#connections.evictAnswers();
    this.#connections.evictUnread();
  }

  /** Values of gauges, in the Prometheus text format. */
  describeLoad(): readonly string[] {
    return [
      `jujubeladder_caller_connections ${this.#connections.size}`,
      `jujubeladder_body_memory_bytes ${this.#bodyMemory.usedBytes}`,
      `jujubeladder_body_memory_limit_bytes ${this.#bodyMemory.maxBytes}`,
      `jujubeladder_unfinished_bodies ${this.#bodyMemory.unfinishedCount}`,
    ];
  }

  /** Closes all connections, including those with requests in progress. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  // Puts each connection behind its paced socket before the HTTP server reads it.
  #paceConnections(): void {
    const serve = this.#server.listeners("connection");
    this.#server.removeAllListeners("connection");
    this.#server.on("connection", (accepted) => {
      const socket = this.#connections.add(accepted);
      if (!socket) return;
      for (const listener of serve) listener.call(this.#server, socket);
    });
  }

  #applyLimits(): void {
    const limits = this.#dependencies.activeConfig.config?.limits;
    if (!limits) return;
    const { headTimeoutMs, idleTimeoutMs } = limits;
    this.#server.keepAliveTimeout = idleTimeoutMs + IDLE_MARGIN_MS;
    // Node.js counts the header timeout from the opening of a connection, so
    // a new connection that sends nothing yet must get the idle timeout.
    this.#server.headersTimeout = Math.max(headTimeoutMs, idleTimeoutMs);
  }

  async #handle(
    incoming: IncomingMessage,
    serverResponse: ServerResponse,
  ): Promise<void> {
    const connection = this.#connections.find(incoming.socket);
    if (!connection || !this.#connections.begin(connection)) return;
    const receivedAtMs = monotonicMs();
    this.#lastRequestAtMs = receivedAtMs;
    const { metrics } = this.#dependencies;
    const response = new HttpCallerResponse(
      serverResponse,
      () =>
        this.#dependencies.exitAtMs() !== undefined &&
        this.#turns.isLatest(serverResponse),
    );
    const turn = this.#turns.take(serverResponse, response.closed);
    const active: ActiveRequest = { receivedAtMs, response };
    this.#active.add(active);
    metrics.count("requests");
    let isServing = false;
    let release: (() => void) | undefined;
    const { maxHeadBytes, maxBodyBytes = DEFAULT_MAX_BODY_BYTES } =
      this.#dependencies.activeConfig.config?.limits ?? {};
    try {
      if (measureHeaders(incoming.rawHeaders) > (maxHeadBytes ?? Infinity)) {
        serverResponse.shouldKeepAlive = false;
        this.#refuse(response, { type: "head_too_large" });
        return;
      }
      const read = await readBody(incoming, {
        maxBytes: maxBodyBytes,
        memory: this.#bodyMemory,
        denseUploads: this.#denseUploads,
        onProgress: () => {
          connection.recordPart();
        },
      });
      if (read.type === "aborted") return;
      if (read.type === "no_room") {
        this.#refuseForMemory(response);
        setTimeout(() => {
          if (!incoming.complete) incoming.socket.destroy();
        }, LINGER_MS).unref();
        return;
      }
      if (read.type === "too_dense") {
        serverResponse.shouldKeepAlive = false;
        this.#refuseForMemory(response);
        return;
      }
      if (read.type === "too_large") {
        serverResponse.shouldKeepAlive = false;
        this.#refuse(response, { type: "body_too_large" });
        return;
      }
      if (read.type === "too_many_chunks") {
        serverResponse.shouldKeepAlive = false;
        const reason = "the body has too many chunks for its length";
        this.#refuse(response, { type: "malformed", reason });
        return;
      }
      ({ release } = read);
      isServing = true;
      connection.servingCount += 1;
      if (!(await turn)) return;
      await this.#serve(incoming, { active, body: read.body });
    } catch (error) {
      this.#failRequest(active, error);
    } finally {
      release?.();
      metrics.record("answer_ms", monotonicMs() - receivedAtMs);
      if (connection.untakenBytes > 0) this.#connections.evictAnswers();
      // A slow caller may still be receiving the end of the response.
      await response.closed;
      this.#active.delete(active);
      if (isServing) connection.servingCount -= 1;
      this.#connections.end(connection);
    }
  }

  async #serve(
    incoming: IncomingMessage,
    { active, body }: { readonly active: ActiveRequest; readonly body: Buffer },
  ): Promise<void> {
    const { codec, relay, logger } = this.#dependencies;
    const { response, receivedAtMs } = active;
    const received = { response, body, receivedAtMs };
    const decoded = codec.decodeRequest({
      method: incoming.method ?? "",
      target: incoming.url ?? "",
      headers: incoming.rawHeaders,
    });
    if (!decoded.ok) {
      const refusal = { type: "malformed", reason: decoded.error } as const;
      this.#refuse(response, refusal);
      return;
    }
    const request = decoded.value;
    const admitted = admitRequest(request, received, this.#dependencies);
    const exitAtMs = this.#dependencies.exitAtMs();
    if (exitAtMs !== undefined) {
      const connection = this.#connections.find(incoming.socket);
      logLateRequest(logger, request, { admitted, exitAtMs, connection });
    }
    if (!admitted.ok) {
      this.#finish(request, received, {
        type: "refused",
        refusal: admitted.error,
      });
      return;
    }
    active.context = admitted.value;
    const connection = this.#connections.find(incoming.socket);
    if (connection)
      connection.takeTimeoutMs = TAKE_TIMEOUTS * admitted.value.route.timeoutMs;
    const outcome = await relay.serve(admitted.value);
    this.#finish(request, received, outcome);
  }

  #finish(
    request: CallerRequest,
    received: {
      readonly response: CallerResponse;
      readonly receivedAtMs: number;
    },
    outcome: FinalOutcome,
  ): void {
    const { activeConfig, logger, metrics } = this.#dependencies;
    const refusal = outcome.type === "refused" ? outcome.refusal : undefined;
    if (refusal) this.#refuse(received.response, refusal, request.requestId);
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
      config_version: activeConfig.version,
      config_age_ms: activeConfig.confirmedAgeMs,
      took_ms: monotonicMs() - received.receivedAtMs,
    });
  }

  // An exception is a fault of this program; it must not leave the caller waiting.
  #failRequest({ response, context }: ActiveRequest, error: unknown): void {
    const { logger, metrics } = this.#dependencies;
    const requestId = context?.request.requestId;
    metrics.count("requests_failed");
    logger.error("request_failed", {
      request: requestId,
      is_head_sent: response.isHeadSent,
      reason: error instanceof Error ? error.stack : String(error),
    });
    if (response.isHeadSent) {
      response.abort();
      return;
    }
    const reason = "internal error";
    this.#refuse(
      response,
      context
        ? { type: "may_have_run", reason }
        : { type: "not_run", reason, retryAfterMs: FAILED_RETRY_MS },
      requestId,
    );
  }

  #refuseForMemory(response: CallerResponse): void {
    const { logger, metrics } = this.#dependencies;
    metrics.count("bodies_without_room");
    logger.warn("body_without_room", {
      buffered_bytes: this.#bodyMemory.usedBytes,
    });
    this.#refuse(response, {
      type: "not_run",
      reason: "no memory for the body",
      // Nothing tells when a body that takes the memory is done with.
      retryAfterMs: estimateRetryAfterMs({
        queuedCount: 0,
        freedSlotsPerSecond: 0,
        random: Math.random(),
      }),
    });
  }

  #refuse(
    response: CallerResponse,
    refusal: Refusal,
    requestId?: string,
  ): void {
    if (response.isHeadSent || response.disconnectSignal.aborted) return;
    this.#dependencies.metrics.count("refusals");
    const reason = "reason" in refusal ? refusal.reason : refusal.type;
    const body = Buffer.from(
      JSON.stringify({ error: { type: refusal.type, reason } }),
    );
    const retry =
      refusal.type === "not_run"
        ? ["retry-after", (refusal.retryAfterMs / MS_PER_SECOND).toFixed(2)]
        : [];
    response.sendHead(toRefusalStatus(refusal), [
      ...this.#dependencies.codec.encodeOwnResponse(requestId),
      "content-type",
      "application/json",
      "content-length",
      String(body.length),
      ...retry,
    ]);
    response.end(body);
  }

  #rejectUnparsable(error: Error, socket: Socket): void {
    const { code } = error as { readonly code?: string };
    if (code === "ECONNRESET" || !socket.writable) {
      socket.destroy();
      return;
    }
    this.#dependencies.logger.warn("unreadable_request", { reason: code });
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

function measureHeaders(rawHeaders: readonly string[]): number {
  return rawHeaders.reduce((sum, { length }) => sum + length, 0);
}
