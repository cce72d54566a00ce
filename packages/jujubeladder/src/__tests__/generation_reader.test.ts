import type { Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { Metrics } from "@jujubeladder/metrics";
import { floodBytes, RawServer } from "@jujubeladder/standins";
import { SealBox } from "@jujubeladder/utils";
import type { AttemptResult } from "../relay/attempt_result.js";
import { GenerationReader } from "../relay/generation_reader.js";

const GENERATION_ID = "g1";
const STREAM_HEAD =
  "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";

function formatToken(offset: number): string {
  const choice = { delta: { content: "x" }, finish_reason: null };
  const chunk = JSON.stringify({ id: GENERATION_ID, choices: [choice] });
  return `id: ${offset}\ndata: ${chunk}\n\n`;
}

function formatEnd(tokenCount: number): string {
  const choice = { delta: {}, finish_reason: "stop" };
  const chunk = JSON.stringify({ id: GENERATION_ID, choices: [choice] });
  return `id: ${tokenCount}\ndata: ${chunk}\n\n`;
}

/** Reads a generation that may have started from a server of raw bytes. */
async function read(onRequest: (socket: Socket) => void): Promise<{
  readonly result: AttemptResult;
  readonly tokenCount: number;
  readonly connectionCount: number;
}> {
  const server = new RawServer(onRequest);
  const reader = new GenerationReader(
    {
      serviceId: "s",
      teamId: "t",
      runnerId: "r",
      host: "127.0.0.1",
      port: await server.start(),
      generationId: GENERATION_ID,
    },
    {
      silenceMs: 500,
      resumeWindowMs: 500,
      firstOffset: 0,
      sealBox: new SealBox(["a secret"], "stream handle"),
      metrics: new Metrics(),
      signal: new AbortController().signal,
      onProgress: () => undefined,
    },
  );
  const events = reader.read();
  let tokenCount = 0;
  try {
    for (;;) {
      const { done, value } = await events.next();
      if (done) {
        const { connectionCount } = server;
        return { result: value, tokenCount, connectionCount };
      }
      if (value.type === "token") tokenCount += 1;
    }
  } finally {
    server.stop();
  }
}

function outcomeOf(result: AttemptResult): string {
  return result.type === "lost" ? result.outcome : result.type;
}

test("a generation without a sign of its start may have run", async () => {
  const missing = await read((socket) => {
    socket.end("HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n");
  });
  assert.is(outcomeOf(missing.result), "may_have_run");
  const silent = await read(() => undefined);
  assert.is(outcomeOf(silent.result), "may_have_run");
});

test("a generation that is lost after its start ran incompletely", async () => {
  let connections = 0;
  const { result, tokenCount } = await read((socket) => {
    connections += 1;
    if (connections === 1) socket.end(STREAM_HEAD + formatToken(0));
    else socket.end("HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n");
  });
  assert.is(tokenCount, 1);
  assert.is(outcomeOf(result), "ran_incomplete");
});

test("a stream that only sends bytes without end is lost, not resumed for ever", async () => {
  const { result, connectionCount } = await read((socket) => {
    socket.write(STREAM_HEAD);
    floodBytes(socket, ": no answer\n\n");
  });
  assert.is(outcomeOf(result), "ran_incomplete");
  assert.is(connectionCount, 3);
});

test("heads without end are lost as may have run", async () => {
  const { result } = await read((socket) => {
    floodBytes(socket, "HTTP/1.1 103 Early Hints\r\n\r\n");
  });
  assert.is(outcomeOf(result), "may_have_run");
});

test("a stream that is silent several times goes on", async () => {
  let connections = 0;
  const { result, tokenCount } = await read((socket) => {
    connections += 1;
    if (connections < 5) socket.write(STREAM_HEAD);
    else socket.end(STREAM_HEAD + formatToken(0) + formatEnd(1));
  });
  assert.is(result.type, "finished");
  assert.is(tokenCount, 1);
});

test.run();
