import type { Socket } from "node:net";
import { RawServer } from "@jujubeladder/standins";
import { sleep } from "@jujubeladder/utils";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { SingleUseClient } from "../single_use_client.js";

const CHUNK = Buffer.alloc(65_536, "x");
const CHUNK_COUNT = 4;
const LENGTH = CHUNK.length * CHUNK_COUNT;
const HEAD = "HTTP/1.1 200 OK\r\n";
const HEADS: Readonly<Record<string, string>> = {
  "no length": `${HEAD}\r\n`,
  "a length and a close": `${HEAD}connection: close\r\ncontent-length: ${LENGTH}\r\n\r\n`,
};
const READ_PAUSE_MS = 60;
const SILENCE_MS = 400;

type End = (socket: Socket) => void;

/** Reads a body slowly; resolves with its length and how it ended. */
async function readSlowly(
  head: string,
  options: { readonly end: End; readonly closesEarly?: boolean },
): Promise<string> {
  const server = new RawServer((socket) => {
    void send(socket, head, options.end);
  });
  const port = await server.start();
  const limits = { headTimeoutMs: 1_000, silenceMs: SILENCE_MS };
  const client = new SingleUseClient(`http://127.0.0.1:${port}`, limits);
  let length = 0;
  try {
    const { body } = await client.request({ method: "GET", path: "/" });
    for await (const chunk of body) {
      length += chunk.byteLength;
      await sleep(READ_PAUSE_MS);
      if (options.closesEarly) client.close();
    }
    return `whole, ${length}`;
  } catch {
    return "broken";
  } finally {
    client.close();
    await sleep(READ_PAUSE_MS);
    server.stop();
  }
}

async function send(socket: Socket, head: string, end: End): Promise<void> {
  socket.write(head);
  for (let n = 0; n < CHUNK_COUNT; n += 1) {
    socket.write(CHUNK);
    await sleep(5);
  }
  end(socket);
}

const fin: End = (socket) => {
  socket.end();
};
const reset: End = (socket) => {
  socket.resetAndDestroy();
};

for (const [name, head] of Object.entries(HEADS)) {
  test(`a body that is read slowly ends without an exception: ${name}, an end`, async () => {
    assert.is(await readSlowly(head, { end: fin }), `whole, ${LENGTH}`);
  });

  test(`a body that is read slowly ends without an exception: ${name}, a reset`, async () => {
    await readSlowly(head, { end: reset });
  });

  test(`a body that is read slowly ends without an exception: ${name}, a close by this side`, async () => {
    const read = readSlowly(head, { end: fin, closesEarly: true });
    assert.is(await read, "broken");
  });
}

test("a reader that takes longer than the allowed silence does not break a body", async () => {
  const server = new RawServer((socket) => {
    socket.write(`${HEAD}content-length: ${LENGTH}\r\n\r\n`);
    for (let n = 0; n < CHUNK_COUNT; n += 1) socket.write(CHUNK);
  });
  const port = await server.start();
  const limits = { headTimeoutMs: 1_000, silenceMs: SILENCE_MS };
  const client = new SingleUseClient(`http://127.0.0.1:${port}`, limits);
  const { body } = await client.request({ method: "GET", path: "/" });
  let length = 0;
  for await (const chunk of body) {
    if (length === 0) await sleep(2 * SILENCE_MS);
    length += chunk.byteLength;
  }
  assert.is(length, LENGTH);
  client.close();
  server.stop();
});

test("a body that falls silent breaks", async () => {
  const server = new RawServer((socket) => {
    socket.write(`${HEAD}content-length: ${LENGTH}\r\n\r\nx`);
  });
  const port = await server.start();
  const limits = { headTimeoutMs: 1_000, silenceMs: SILENCE_MS };
  const client = new SingleUseClient(`http://127.0.0.1:${port}`, limits);
  const startedAtMs = performance.now();
  const { body } = await client.request({ method: "GET", path: "/" });
  let code: unknown;
  try {
    for await (const chunk of body) assert.is(chunk.byteLength, 1);
  } catch (error) {
    ({ code } = error as { code?: unknown });
  }
  const tookMs = performance.now() - startedAtMs;
  client.close();
  server.stop();
  assert.is(code, "UND_ERR_BODY_TIMEOUT");
  assert.ok(tookMs >= SILENCE_MS - 1, `${tookMs} ms`);
});

test.run();
