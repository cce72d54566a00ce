import { once } from "node:events";
import { createServer, type AddressInfo, type Socket } from "node:net";
import { sleep } from "@jujubeladder/utils";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { runAttempt } from "../relay/run_attempt.js";
import { HttpConnection } from "../transport/http_connection.js";

/** Outcome of an attempt on a connection that has been open for a while. */
async function attempt(
  onConnection: (socket: Socket) => void,
  signal = new AbortController().signal,
) {
  let receivedBytes = 0;
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.on("data", ({ length }) => (receivedBytes += length));
    onConnection(socket);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const host = "127.0.0.1";
  const opened = await HttpConnection.open(
    { host, port },
    { timeoutMs: 1_000 },
  );
  if (!opened.ok) throw new Error(opened.error);
  await sleep(50);
  const { outcome, connection } = await runAttempt(opened.value, {
    codec: {
      decodeResponse: () => {
        throw new Error("no answer was expected");
      },
    },
    requestId: "r1",
    method: "POST",
    target: "/",
    headers: ["host", host],
    body: Buffer.from("order"),
    signal,
    remainingMs: 1_000,
  });
  await sleep(50);
  server.close();
  const { isOpen } = opened.value;
  return {
    type: outcome.type,
    sentBytes: connection.sentBytes,
    receivedBytes,
    isOpen,
  };
}

const UNSENT = {
  type: "not_sent",
  sentBytes: 0,
  receivedBytes: 0,
  isOpen: false,
};

for (const text of [
  "x",
  "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
  "HTTP/1.1 103 Early Hints\r\n\r\n",
]) {
  const name = JSON.stringify(text);
  test(`nothing is sent to a runner that starts with ${name}`, async () => {
    assert.equal(await attempt((socket) => socket.write(text)), UNSENT);
  });
}

test("nothing is sent on a connection that the runner has ended", async () => {
  const result = await attempt((socket) => {
    setTimeout(() => socket.resetAndDestroy(), 20);
  });
  assert.equal(result, UNSENT);
});

test("nothing is sent for a caller that has left before", async () => {
  const result = await attempt(() => undefined, AbortSignal.abort());
  assert.equal(result, { ...UNSENT, type: "caller_left" });
});

test("a request that a runner resets after reading may have run", async () => {
  const result = await attempt((socket) => {
    socket.once("data", () => socket.resetAndDestroy());
  });
  assert.is(result.type, "broken");
  assert.ok(result.sentBytes > 0);
  assert.ok(result.receivedBytes > 0);
});

test.run();
