import type { Socket } from "node:net";
import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { dripBytes, floodBytes, RawServer } from "@jujubeladder/standins";
import { ByteBudget, sleep } from "@jujubeladder/utils";
import { EngineClient } from "../engine_client.js";
import { PlainServiceClient } from "../plain_service_client.js";
import { readBody } from "../read_body.js";
import { SingleUseClient } from "../single_use_client.js";
import { toOrigin } from "../to_origin.js";

const TIMEOUT_MS = 300;
const DRIP_INTERVAL_MS = 50;
const FLOOD_CONNECTIONS = 20;
/** Twice the budget of buffered bodies, since a buffer grows by copying. */
const MAX_GROWTH_BYTES = 512 * 1_048_576;
/** Head time-out, coarse timers and a busy machine. */
const MAX_MS = 6_000;

const STATUS = "HTTP/1.1 200 OK\r\n";
const CHUNKED = `${STATUS}transfer-encoding: chunked\r\n\r\n`;
const HEADS: Readonly<Record<string, readonly [start: string, rest: string]>> =
  {
    "line ends before a head": ["", "\r\n"],
    "a status line": ["HTTP/1.1 200 O", "K"],
    "a head": [STATUS, "x-more: 1\r\n"],
    "a header": [`${STATUS}x-more: `, "1"],
    "heads of status 103": ["", "HTTP/1.1 103 Early Hints\r\n\r\n"],
  };
const BODIES: typeof HEADS = {
  "a chunk size": [CHUNKED, "0"],
  "a chunk extension": [`${CHUNKED}1;x=`, "y"],
  trailers: [`${CHUNKED}0\r\n`, "x-more: 1\r\n"],
  "a body without a length": [`${STATUS}connection: close\r\n\r\n`, "x"],
  "chunks of one byte": [CHUNKED, "1\r\nx\r\n"],
};

type Send = (socket: Socket, text: string) => void;
type Address = { readonly host: string; readonly port: number };

const WAYS: Readonly<Record<string, Send>> = {
  drips: (socket, text) => {
    dripBytes(socket, text, DRIP_INTERVAL_MS);
  },
  floods: (socket, text) => {
    floodBytes(socket, text);
  },
};

async function callPlainService(address: Address): Promise<string> {
  const call = {
    requestId: "r1",
    method: "POST",
    path: "/",
    contentType: "text/plain",
    body: new TextEncoder().encode("x"),
  };
  const client = new PlainServiceClient(address);
  return (await client.call(call, { timeoutMs: TIMEOUT_MS })).type;
}

const CLIENTS: Readonly<Record<string, (address: Address) => Promise<string>>> =
  {
    "plain service": callPlainService,
    "plain service's state": async (address) => {
      const client = new PlainServiceClient(address);
      const isLeaving = await client.readIsLeaving(TIMEOUT_MS);
      return isLeaving === undefined ? "unknown" : "answered";
    },
    "load report": async (address) => {
      const load = await new EngineClient(address).readLoad();
      return load.ok ? "answered" : "unknown";
    },
    "engine's stream": async (address) => {
      const options = {
        offset: 0,
        silenceMs: TIMEOUT_MS,
        signal: new AbortController().signal,
      };
      const client = new EngineClient(address);
      const outcome = await client.resumeGeneration("g1", options);
      if (outcome.type !== "opened") return outcome.type;
      for await (const event of outcome.stream.events) {
        if (event.type === "broken") break;
      }
      outcome.stream.close();
      return "unknown";
    },
  };

/** Runs a call at a server that sends the bytes; tells what did not end. */
async function findFault(
  call: (address: Address) => Promise<string>,
  onRequest: (socket: Socket) => void,
): Promise<string | undefined> {
  const server = new RawServer(onRequest);
  const address = { host: "127.0.0.1", port: await server.start() };
  try {
    const outcome = await Promise.race([call(address), sleep(MAX_MS)]);
    if (outcome !== "unknown") return `outcome ${String(outcome)}`;
    await sleep(200);
    return server.openCount === 0 ? undefined : "the connection stays open";
  } finally {
    server.stop();
  }
}

/** Runs a call against each case at once; returns those that have a fault. */
async function findFaults(
  call: (address: Address) => Promise<string>,
  send: Send | undefined,
  cases: typeof HEADS,
): Promise<readonly string[]> {
  const faults = await Promise.all(
    Object.entries(cases).map(async ([part, [start, rest]]) => {
      const fault = await findFault(call, (socket) => {
        socket.write(start);
        send?.(socket, rest);
      });
      return fault === undefined ? [] : [`${part}: ${fault}`];
    }),
  );
  return faults.flat();
}

for (const [client, call] of Object.entries(CLIENTS)) {
  for (const [way, send] of Object.entries(WAYS)) {
    test(`${client}: what comes before or in a head ${way}`, async () => {
      assert.equal(await findFaults(call, send, HEADS), []);
    });
  }
  test(`${client}: what comes in or after a body floods`, async () => {
    assert.equal(await findFaults(call, WAYS["floods"], BODIES), []);
  });
}

test("a buffered body drips", async () => {
  const call = async (address: Address) => {
    const client = new SingleUseClient(toOrigin(address), {
      headTimeoutMs: TIMEOUT_MS,
      silenceMs: TIMEOUT_MS,
      bodyTimeoutMs: TIMEOUT_MS,
    });
    try {
      const { body } = await client.request({ method: "GET", path: "/" });
      await readBody(body, { maxBytes: 1_000_000 });
      return "answered";
    } catch {
      return "unknown";
    } finally {
      client.close();
    }
  };
  assert.equal(await findFaults(call, WAYS["drips"], BODIES), []);
});

test("many floods at once need bounded memory", async () => {
  const server = new RawServer((socket) => {
    socket.write(`${STATUS}connection: close\r\n\r\n`);
    floodBytes(socket, "x");
  });
  const address = { host: "127.0.0.1", port: await server.start() };
  const before = process.memoryUsage().rss;
  let peak = before;
  const timer = setInterval(() => {
    peak = Math.max(peak, process.memoryUsage().rss);
  }, 5);
  try {
    const calls = Array.from({ length: FLOOD_CONNECTIONS }, () =>
      callPlainService(address),
    );
    const outcomes = await Promise.all(calls);
    assert.ok(outcomes.every((outcome) => outcome === "unknown"));
    assert.ok(peak - before < MAX_GROWTH_BYTES, `${peak - before} bytes more`);
  } finally {
    clearInterval(timer);
    server.stop();
  }
});

test("buffered bodies share a budget, which they give back", async () => {
  const budget = new ByteBudget(10_000);
  async function* toBody(size: number): AsyncGenerator<Uint8Array> {
    for (let sent = 0; sent < size; sent += 1) {
      yield new Uint8Array(1);
      if (sent % 1_000 === 0) await sleep(0);
    }
  }
  const options = { maxBytes: 8_000, budget };
  const results = await Promise.allSettled([
    readBody(toBody(6_000), options),
    readBody(toBody(6_000), options),
    readBody(toBody(9_000), { maxBytes: 8_000 }),
  ]);
  const rejected = results.filter((result) => result.status === "rejected");
  assert.ok(rejected.length >= 2);
  assert.is(budget.usedBytes, 0);
  assert.is((await readBody(toBody(4_000), options)).byteLength, 4_000);
});

test("a body without a length that is reset is not a whole answer", async () => {
  const fault = await findFault(callPlainService, (socket) => {
    socket.write(`${STATUS}connection: close\r\n\r\n{"receipt":`);
    setTimeout(() => socket.resetAndDestroy(), 100);
  });
  assert.is(fault, undefined);
});

/** Reads a body only after the server has reset its connection. */
async function readAfterReset(text: string): Promise<string> {
  const server = new RawServer((socket) => {
    socket.write(text);
    setTimeout(() => socket.resetAndDestroy(), 50);
  });
  const address = { host: "127.0.0.1", port: await server.start() };
  const client = new SingleUseClient(toOrigin(address), {
    headTimeoutMs: TIMEOUT_MS,
    silenceMs: TIMEOUT_MS,
  });
  try {
    const { body } = await client.request({ method: "GET", path: "/" });
    await sleep(150);
    const bytes = await readBody(body, { maxBytes: 1_000 });
    return Buffer.from(bytes).toString();
  } catch {
    return "failed";
  } finally {
    client.close();
    server.stop();
  }
}

for (const header of ["", "connection: close\r\n"]) {
  const start = `${STATUS}${header}`;
  const chunked = `${start}transfer-encoding: chunked\r\n\r\n`;
  const name = header === "" ? "kept" : "closing";
  test(`a whole body on a ${name} connection survives a reset`, async () => {
    const sized = `${start}content-length: 2\r\n\r\nok`;
    assert.is(await readAfterReset(sized), "ok");
    assert.is(await readAfterReset(`${chunked}2\r\nok\r\n0\r\n\r\n`), "ok");
  });
  test(`a part of a body on a ${name} connection fails`, async () => {
    const parts = [
      `${start}content-length: 3\r\n\r\nok`,
      `${chunked}2\r\nok\r\n`,
      `${chunked}2\r\nok\r\n0\r\n`,
      `${start}transfer-encoding: gzip\r\n\r\nok`,
      `${start}\r\nok`,
    ];
    for (const part of parts) {
      assert.is(await readAfterReset(part), "failed", part);
    }
  });
}

test.run();
