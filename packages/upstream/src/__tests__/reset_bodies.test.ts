import type { Socket } from "node:net";
import { RawServer } from "@jujubeladder/standins";
import { sleep } from "@jujubeladder/utils";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { readBody } from "../read_body.js";
import { SingleUseClient } from "../single_use_client.js";

const BODY = "x".repeat(800);
const UNFRAMED = `HTTP/1.1 200 OK\r\n\r\n${BODY}`;
const LENGTH = `HTTP/1.1 200 OK\r\ncontent-length: 800\r\n\r\n${BODY}`;
const LIMITS = { headTimeoutMs: 1_000, silenceMs: 1_000 };
const TIMES = 40;
const BEFORE_RESET_MS = 20;

type End = (socket: Socket) => void | Promise<void>;
const RESETS: Readonly<Record<string, End>> = {
  "with the bytes": (socket) => {
    socket.resetAndDestroy();
  },
  "after the bytes": async (socket) => {
    await sleep(BEFORE_RESET_MS);
    socket.resetAndDestroy();
  },
};

async function read(text: string, end: End): Promise<string> {
  const server = new RawServer((socket) => {
    socket.write(text);
    void end(socket);
  });
  const port = await server.start();
  const client = new SingleUseClient(`http://127.0.0.1:${port}`, LIMITS);
  try {
    const { body } = await client.request({ method: "GET", path: "/" });
    return `whole, ${(await readBody(body, { maxBytes: 1_000 })).length}`;
  } catch {
    return "broken";
  } finally {
    client.close();
    server.stop();
  }
}

async function readOften(text: string, end: End): Promise<readonly string[]> {
  const calls = Array.from({ length: TIMES }, () => read(text, end));
  return [...new Set(await Promise.all(calls))];
}

for (const [moment, end] of Object.entries(RESETS)) {
  test(`a body without a length is not whole after a reset ${moment}`, async () => {
    assert.equal(await readOften(UNFRAMED, end), ["broken"]);
  });
}

test("a body without a length is whole after an orderly end", async () => {
  const end: End = (socket) => {
    socket.end();
  };
  assert.equal(await readOften(UNFRAMED, end), ["whole, 800"]);
});

test("a body that its length ends is whole, though a reset follows", async () => {
  const end = RESETS["after the bytes"] as End;
  assert.equal(await readOften(LENGTH, end), ["whole, 800"]);
});

test.run();
