import {
  constants,
  type Http2Stream,
  type ServerHttp2Session,
} from "node:http2";
import type { Socket } from "node:net";

/** Twice as long as a peer keeps a connection that it does not use. */
const UNUSED_TIMEOUT_MS = 10_000;
/** Longer than any call that a peer waits for. */
const CALL_TIMEOUT_MS = 130_000;

/**
 * Closes a peer's connection on which no call is in progress for too long,
 * whatever else it sends, and calls that do not end.
 */
export function limitSession(
  session: ServerHttp2Session,
  socket: Socket,
): void {
  let callCount = 0;
  let timer: NodeJS.Timeout | undefined;
  const watch = () => {
    timer = setTimeout(() => {
      session.destroy();
      // The session alone would wait for the peer to close its side too.
      socket.destroy();
    }, UNUSED_TIMEOUT_MS);
  };
  socket.once("close", () => {
    clearTimeout(timer);
  });
  session.on("stream", (stream: Http2Stream) => {
    callCount += 1;
    clearTimeout(timer);
    const callTimer = setTimeout(() => {
      stream.close(constants.NGHTTP2_CANCEL);
    }, CALL_TIMEOUT_MS);
    stream.once("close", () => {
      clearTimeout(callTimer);
      callCount -= 1;
      if (callCount === 0 && !socket.destroyed) watch();
    });
  });
  watch();
}
