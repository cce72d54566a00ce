import type { GatewayCodec } from "../model/gateway_codec.js";
import type { RunnerResponse } from "../model/runner_response.js";
import { ByteCollector } from "../transport/byte_collector.js";
import type { HttpConnection } from "../transport/http_connection.js";
import type { AttemptConnection } from "./attempt_connection.js";
import type { AttemptOutcome } from "./attempt_outcome.js";
import { belongsToRequest } from "./belongs_to_request.js";
import { EventSplitter } from "./event_splitter.js";
import type { StreamReceiver } from "./stream_receiver.js";

/** Limit for a response that is buffered before it is forwarded. */
const MAX_BUFFERED_BYTES = 8 * 1_048_576;
/** A runner states a refusal with a client or server error. */
const MIN_REFUSAL_STATUS = 400;

/** Request data and limits of one attempt. */
interface AttemptOptions {
  readonly codec: Pick<GatewayCodec, "decodeResponse">;
  readonly requestId: string;
  readonly method: string;
  readonly target: string;
  readonly headers: string[];
  readonly body: Buffer;
  readonly signal: AbortSignal;
  /** Time until the request's deadline. */
  readonly remainingMs: number;
  /** Timeout for the response head or, for a stream, the first event. */
  readonly firstByteTimeoutMs?: number | undefined;
  /** Asked at that timeout: false if no other attempt could follow. */
  readonly mayAbandon?: (() => boolean) | undefined;
  /** Called for a head that belongs to the request, before its body. */
  readonly onOwnHead?: ((head: RunnerResponse) => void) | undefined;
  /** Receives a stream's events; absent if no stream is expected. */
  readonly receiver?: StreamReceiver | undefined;
}

/**
 * Sends one request on a connection and validates the response: it must carry
 * this request's id and be complete, and a successful one must be signed. Only
 * a refusal on a new connection may lack the id. Every outcome except
 * `answered` and `streamed` closes the connection.
 */
export async function runAttempt(
  connection: HttpConnection,
  options: AttemptOptions,
): Promise<{
  readonly outcome: AttemptOutcome;
  readonly head: RunnerResponse | undefined;
  readonly connection: AttemptConnection;
}> {
  return await new Promise((resolve) => {
    const body = new ByteCollector(MAX_BUFFERED_BYTES);
    const splitter = new EventSplitter();
    const { receiver } = options;
    let head: RunnerResponse | undefined;
    let isStream = false;
    let isSettled = false;

    const settle = (outcome: AttemptOutcome) => {
      if (isSettled) return;
      isSettled = true;
      clearTimeout(deadlineTimer);
      clearTimeout(firstByteTimer);
      options.signal.removeEventListener("abort", onCallerDisconnect);
      const isComplete =
        outcome.type === "answered" || outcome.type === "streamed";
      const { isReused, sentBytes, hasPeerEnded } = connection;
      const endedBy = hasPeerEnded
        ? "runner"
        : isComplete
          ? undefined
          : "instance";
      if (!isComplete) {
        connection.close();
      }
      body.clear();
      splitter.clear();
      resolve({ outcome, head, connection: { isReused, sentBytes, endedBy } });
    };
    const onCallerDisconnect = () => {
      settle({ type: "caller_left" });
    };
    const deadlineTimer = setTimeout(() => {
      settle({ type: "timed_out" });
    }, options.remainingMs);
    const firstByteTimer =
      options.firstByteTimeoutMs === undefined
        ? undefined
        : setTimeout(() => {
            if (options.mayAbandon?.() ?? true) settle({ type: "slow" });
          }, options.firstByteTimeoutMs);
    options.signal.addEventListener("abort", onCallerDisconnect, {
      once: true,
    });

    const forwardEvents = (chunk: Buffer): boolean => {
      let isPaused = false;
      const events = splitter.push(chunk);
      if (!events.ok) {
        settle({ type: "broken", reason: events.error });
        return true;
      }
      for (const event of events.value) {
        clearTimeout(firstByteTimer);
        const result = receiver?.onEvent(event);
        if (result === "out_of_order") {
          settle({ type: "broken", reason: "an event is missing" });
          return true;
        }
        isPaused ||= result === "pause";
      }
      if (isPaused) receiver?.onDrain(() => exchange.resume());
      return !isPaused;
    };

    const exchange = connection.send(options, {
      onHead: (statusCode, headers) => {
        head = options.codec.decodeResponse(statusCode, headers);
        if (belongsToRequest(head, options.requestId, connection))
          options.onOwnHead?.(head);
        const error = findResponseError(head, options.requestId, connection);
        if (error) {
          settle({ type: "broken", reason: error });
          return;
        }
        isStream = receiver !== undefined && isSuccessfulStream(head);
        if (isStream) receiver?.onStart(head);
        else clearTimeout(firstByteTimer);
      },
      onData: (chunk) => {
        if (isSettled) return true;
        if (isStream) return forwardEvents(chunk);
        const error = body.append(chunk);
        if (error) settle({ type: "broken", reason: error });
        return true;
      },
      onEnd: () => {
        const rest = splitter.takeRest();
        if (rest) receiver?.onEvent(rest);
        settle(toOutcome(head, { isStream, splitter, body }));
      },
      onError: (reason) => {
        const type = connection.sentBytes === 0 ? "not_sent" : "broken";
        settle({ type, reason });
      },
    });
    if (options.signal.aborted) onCallerDisconnect();
  });
}

function isSuccessfulStream(head: RunnerResponse): boolean {
  return head.statusCode === 200 && head.isEventStream;
}

// Returns why a response is not a valid response to this request. A refusal
// without an id is valid only where no earlier request can have caused it.
function findResponseError(
  head: RunnerResponse,
  requestId: string,
  { isReused }: { readonly isReused: boolean },
): string | undefined {
  const isRefusal = head.execution !== "executed";
  if (isRefusal && head.statusCode < MIN_REFUSAL_STATUS) {
    return `a refusal with status ${head.statusCode}`;
  }
  if (isRefusal && head.requestId === undefined) {
    return isReused ? "a refusal without a request id" : undefined;
  }
  if (head.requestId !== requestId) {
    return "the answer belongs to another request";
  }
  if (isRefusal) return undefined;
  const isSuccess = head.statusCode >= 200 && head.statusCode < 300;
  if (isSuccess && !head.isSigned) return "the answer is not signed";
  if (isSuccess && head.isEncoded) return "the answer's body is encoded";
  return undefined;
}

function toOutcome(
  head: RunnerResponse | undefined,
  received: {
    readonly isStream: boolean;
    readonly splitter: EventSplitter;
    readonly body: ByteCollector;
  },
): AttemptOutcome {
  if (!head) return { type: "broken", reason: "the answer has no head" };
  switch (head.execution) {
    case "not_executed":
      return { type: "rejected", reason: `status ${head.statusCode}` };
    case "wrong_runner":
      return { type: "rejected", reason: "the address has another runner" };
    case "executed":
      break;
  }
  if (!received.isStream) {
    return { type: "answered", head, body: received.body.bytes };
  }
  return received.splitter.hasPartial
    ? { type: "broken", reason: "the stream ended within an event" }
    : { type: "streamed", head };
}
