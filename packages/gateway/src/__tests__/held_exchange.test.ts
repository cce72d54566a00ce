import type { Socket } from "node:net";
import { sleep } from "@jujubeladder/utils";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { HttpConnection } from "../transport/http_connection.js";
import { connectToRawServer } from "./connect_to_raw_server.js";

const BODY = "x".repeat(1_000);
const HEAD = "HTTP/1.1 200 OK\r\n";
const CLOSE = `${HEAD}connection: close\r\n`;
/** Answers after which the client does not keep the connection, and one kept. */
const ANSWERS: Readonly<Record<string, string>> = {
  "no length": `${HEAD}\r\n`,
  "a length and a close": `${CLOSE}content-length: 100000\r\n\r\n`,
  "chunks and a close": `${CLOSE}transfer-encoding: chunked\r\n\r\n3e8\r\n`,
  "a length": `${HEAD}content-length: 100000\r\n\r\n`,
};
type End = (socket: Socket, connection: HttpConnection) => void;
const ENDS: Readonly<Record<string, End>> = {
  "the runner ends": (socket) => socket.end(),
  "the runner resets": (socket) => socket.resetAndDestroy(),
  "the runner writes on and resets": (socket) => {
    socket.write(BODY);
    socket.resetAndDestroy();
  },
  "this side closes": (_socket, connection) => {
    connection.close();
  },
};
const PAUSE_MS = 30;

const REQUEST = { method: "GET", target: "/", headers: [], body: null };

for (const [answer, head] of Object.entries(ANSWERS)) {
  for (const [how, end] of Object.entries(ENDS)) {
    test(`an exchange whose reader pauses ends without an exception: ${answer}, ${how}`, async () => {
      let socket: Socket | undefined;
      const { connection, stop } = await connectToRawServer((opened) => {
        socket = opened;
        opened.write(head + BODY);
      });
      let outcome = "none";
      const hasBegun = new Promise<void>((resolve) => {
        connection.send(REQUEST, {
          onHead: () => undefined,
          onData: () => {
            resolve();
            return false;
          },
          onEnd: () => {
            outcome = "whole";
          },
          onError: () => {
            outcome = "broken";
          },
        });
      });
      await hasBegun;
      if (socket) end(socket, connection);
      await sleep(PAUSE_MS);
      connection.close();
      await sleep(PAUSE_MS);
      // All that preceded an orderly end has been delivered.
      const isWhole = answer === "no length" && how === "the runner ends";
      assert.is(outcome, isWhole ? "whole" : "broken");
      stop();
    });
  }
}

test("bytes that arrive while the reader pauses are read in order after it", async () => {
  const parts = Array.from({ length: 50 }, (_, n) => `${n};`.repeat(500));
  const { connection, stop } = await connectToRawServer((socket) => {
    socket.write(`${HEAD}transfer-encoding: chunked\r\n\r\n`);
    for (const part of parts)
      socket.write(`${part.length.toString(16)}\r\n${part}\r\n`);
    socket.write("0\r\n\r\n");
  });
  let text = "";
  await new Promise<void>((resolve, reject) => {
    const exchange = connection.send(REQUEST, {
      onHead: () => undefined,
      onData: (chunk) => {
        text += chunk.toString("latin1");
        setTimeout(() => {
          exchange.resume();
        }, 1);
        return false;
      },
      onEnd: resolve,
      onError: reject,
    });
  });
  assert.is(text, parts.join(""));
  connection.close();
  stop();
});

test("a connection whose reader paused at the answer's end serves the next request", async () => {
  const { connection, stop } = await connectToRawServer((socket) => {
    socket.write(`${HEAD}content-length: ${BODY.length}\r\n\r\n${BODY}`);
  });
  for (let n = 0; n < 3; n += 1) {
    const outcome = await new Promise<string>((resolve) => {
      connection.send(REQUEST, {
        onHead: () => undefined,
        onData: () => false,
        onEnd: () => {
          resolve("whole");
        },
        onError: resolve,
      });
      setTimeout(() => {
        resolve("none");
      }, 1_000);
    });
    assert.is(outcome, "whole", `request ${n}`);
    assert.ok(connection.isOpen);
  }
  connection.close();
  stop();
});

test("a reader that pauses holds up the runner", async () => {
  const total = 64 * 1_048_576;
  let socket: Socket | undefined;
  const { connection, stop } = await connectToRawServer((opened) => {
    socket = opened;
    opened.write(`${HEAD}content-length: ${total}\r\n\r\n`);
    opened.write(Buffer.alloc(total));
  });
  let receivedBytes = 0;
  connection.send(REQUEST, {
    onHead: () => undefined,
    onData: (chunk) => {
      receivedBytes += chunk.length;
      return false;
    },
    onEnd: () => undefined,
    onError: () => undefined,
  });
  await sleep(300);
  assert.ok(receivedBytes <= 65_536, `${receivedBytes} bytes`);
  assert.ok((socket?.writableLength ?? 0) > total / 2);
  connection.close();
  stop();
});

test.run();
