import type { GatewayCodec } from "../model/gateway_codec.js";
import type { RunnerAnswer } from "../model/runner_answer.js";
import type { RunnerConnection } from "../transport/runner_connection.js";
import type { AttemptOutcome } from "./attempt_outcome.js";
import { EventSplitter } from "./event_splitter.js";
import type { StreamReceiver } from "./stream_receiver.js";

/** Bound on an answer that is collected before it is passed on. */
const MAX_COLLECTED_BYTES = 8 * 1_048_576;

/** What an attempt sends, and within what bounds. */
interface AttemptOptions {
  readonly codec: GatewayCodec;
  readonly requestId: string;
  readonly method: string;
  readonly target: string;
  readonly headers: string[];
  readonly body: Buffer;
  readonly signal: AbortSignal;
  /** Time until the request's deadline. */
  readonly remainingMs: number;
  /** Time until the first byte of an answer or first event. */
  readonly firstByteMs?: number | undefined;
  /** Takes a stream's events; absent where no stream is expected. */
  readonly receiver?: StreamReceiver | undefined;
}

/**
 * Sends one request on a connection and checks the answer: it must name this
 * request, be whole, and a success must be signed. Every outcome but
 * `answered` and `streamed` closes the connection.
 */
export async function runAttempt(
  connection: RunnerConnection,
  options: AttemptOptions,
): Promise<{
  readonly outcome: AttemptOutcome;
  readonly head: RunnerAnswer | undefined;
}> {
  return await new Promise((resolve) => {
    const chunks: Buffer[] = [];
    const splitter = new EventSplitter();
    const { receiver } = options;
    let byteCount = 0;
    let head: RunnerAnswer | undefined;
    let isStream = false;
    let isSettled = false;

    const settle = (outcome: AttemptOutcome) => {
      if (isSettled) return;
      isSettled = true;
      clearTimeout(deadline);
      clearTimeout(firstByte);
      options.signal.removeEventListener("abort", onLeft);
      const isWhole =
        outcome.type === "answered" || outcome.type === "streamed";
      if (!isWhole) {
        connection.close();
      }
      resolve({ outcome, head });
    };
    const onLeft = () => {
      settle({ type: "caller_left" });
    };
    const deadline = setTimeout(() => {
      settle({ type: "timed_out" });
    }, options.remainingMs);
    const firstByte =
      options.firstByteMs === undefined
        ? undefined
        : setTimeout(() => {
            settle({ type: "slow" });
          }, options.firstByteMs);
    options.signal.addEventListener("abort", onLeft, { once: true });

    const takeEvents = (chunk: Buffer): boolean => {
      let isPaused = false;
      for (const event of splitter.push(chunk)) {
        clearTimeout(firstByte);
        const verdict = receiver?.onEvent(event);
        if (verdict === "out_of_order") {
          settle({ type: "broken", reason: "an event is missing" });
          return true;
        }
        isPaused ||= verdict === "pause";
      }
      if (isPaused) receiver?.onDrain(() => exchange.resume());
      return !isPaused;
    };

    const exchange = connection.send(options, {
      onHead: (statusCode, headers) => {
        head = options.codec.decodeAnswer(statusCode, headers);
        const fault = findFault(head, options.requestId);
        if (fault) {
          settle({ type: "broken", reason: fault });
          return;
        }
        isStream = receiver !== undefined && isSuccessfulStream(head);
        if (isStream) receiver?.onStart(head);
        else clearTimeout(firstByte);
      },
      onData: (chunk) => {
        if (isStream) return takeEvents(chunk);
        byteCount += chunk.length;
        if (byteCount > MAX_COLLECTED_BYTES) {
          settle({ type: "broken", reason: "the answer is too long" });
        } else {
          chunks.push(chunk);
        }
        return true;
      },
      onEnd: () => {
        settle(toOutcome(head, { isStream, splitter, chunks }));
      },
      onBroken: (reason) => {
        settle({ type: "broken", reason });
      },
    });
    if (options.signal.aborted) onLeft();
  });
}

function isSuccessfulStream(head: RunnerAnswer): boolean {
  return head.statusCode === 200 && head.isEventStream;
}

// Returns why an answer cannot be the runner's answer to this request.
function findFault(head: RunnerAnswer, requestId: string): string | undefined {
  if (head.execution !== "executed") return undefined;
  if (head.requestId !== requestId) {
    return "the answer belongs to another request";
  }
  const isSuccess = head.statusCode >= 200 && head.statusCode < 300;
  if (isSuccess && !head.isSigned) return "the answer is not signed";
  if (isSuccess && head.isEncoded) return "the answer's body is encoded";
  return undefined;
}

function toOutcome(
  head: RunnerAnswer | undefined,
  received: {
    readonly isStream: boolean;
    readonly splitter: EventSplitter;
    readonly chunks: readonly Buffer[];
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
    return { type: "answered", head, body: Buffer.concat(received.chunks) };
  }
  return received.splitter.hasPartial
    ? { type: "broken", reason: "the stream ended within an event" }
    : { type: "streamed", head };
}
