import { once } from "node:events";
import { createServer } from "node:http";
import { connect, type AddressInfo } from "node:net";
import express from "express";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { SseWriter } from "../http/sse_writer.js";

const EVENT_COUNT = 200_000;
const EVENT_TEXT = "x".repeat(200);
const MAX_BUFFERED_BYTES = 1_000_000;
const SETTLE_MS = 300;
const MAX_LISTENERS = 10;

test("a caller that does not read blocks the writer", async () => {
  const app = express();
  let written = 0;
  let bufferedBytes = 0;
  let closeListeners = 0;
  app.get("/", async (_req, res) => {
    const writer = new SseWriter(res);
    writer.open();
    for (; written < EVENT_COUNT && !res.destroyed; written += 1) {
      await writer.write({ data: EVENT_TEXT });
      bufferedBytes = Math.max(bufferedBytes, res.writableLength);
      closeListeners = Math.max(closeListeners, res.listenerCount("close"));
    }
    writer.end();
  });
  const server = createServer(app).listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const caller = connect(port, "127.0.0.1");
  caller.pause();
  caller.write("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
  let before = -1;
  while (written !== before || written === 0) {
    before = written;
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
  }
  caller.destroy();
  server.close();
  assert.ok(written < EVENT_COUNT, `${written} events were written`);
  assert.ok(closeListeners < MAX_LISTENERS, `${closeListeners} listeners`);
  assert.ok(bufferedBytes < MAX_BUFFERED_BYTES, `${bufferedBytes} buffered`);
});

test.run();
