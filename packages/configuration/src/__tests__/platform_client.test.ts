import type { Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { dripBytes, floodBytes, RawServer } from "@jujubeladder/standins";
import { sleep } from "@jujubeladder/utils";
import { PlatformClient } from "../platform_client.js";

const WAIT_MS = 100;
const DRIP_INTERVAL_MS = 50;
/** Limits of the client, and a busy machine. */
const MAX_MS = 14_000;

const STATUS = "HTTP/1.1 200 OK\r\n";
const CASES: Readonly<Record<string, readonly [start: string, rest: string]>> =
  {
    "line ends before a head": ["", "\r\n"],
    "a head": [STATUS, "x-more: 1\r\n"],
    "heads of status 103": ["", "HTTP/1.1 103 Early Hints\r\n\r\n"],
    "a chunk extension": [
      `${STATUS}transfer-encoding: chunked\r\n\r\n1;x=`,
      "y",
    ],
    "a body without a length": [`${STATUS}connection: close\r\n\r\n`, "x"],
  };

type Send = (socket: Socket, text: string) => void;

const WAYS: Readonly<Record<string, Send>> = {
  drips: (socket, text) => {
    dripBytes(socket, text, DRIP_INTERVAL_MS);
  },
  floods: (socket, text) => {
    floodBytes(socket, text);
  },
};

async function findFault(
  send: Send,
  [start, rest]: readonly [string, string],
): Promise<string> {
  const server = new RawServer((socket) => {
    socket.write(start);
    send(socket, rest);
  });
  const baseUrl = `http://127.0.0.1:${await server.start()}`;
  const client = new PlatformClient({ baseUrl, waitMs: WAIT_MS });
  const watch = client.watchConfig(0, new AbortController().signal);
  try {
    const result = await Promise.race([watch, sleep(MAX_MS)]);
    if (!result) return "no end in time";
    if (result.ok) return "an answer";
    await sleep(200);
    return server.openCount === 0 ? "" : "the connection stays open";
  } finally {
    server.stop();
    client.close();
  }
}

for (const [way, send] of Object.entries(WAYS)) {
  test(`what is no answer ${way}`, async () => {
    const faults = await Promise.all(
      Object.entries(CASES).map(async ([part, bytes]) => [
        part,
        await findFault(send, bytes),
      ]),
    );
    assert.equal(
      faults.filter(([, fault]) => fault !== ""),
      [],
    );
  });
}

test("closing ends a call that waits", async () => {
  const server = new RawServer(() => undefined);
  const baseUrl = `http://127.0.0.1:${await server.start()}`;
  const client = new PlatformClient({ baseUrl, waitMs: 60_000 });
  const watch = client.watchConfig(0, new AbortController().signal);
  try {
    while (server.connectionCount === 0) await sleep(10);
    client.close();
    assert.is((await watch).ok, false);
  } finally {
    server.stop();
  }
});

test.run();
