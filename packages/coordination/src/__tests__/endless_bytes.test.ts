import { once } from "node:events";
import { createServer, type ServerHttp2Stream } from "node:http2";
import { connect, type AddressInfo, type Socket } from "node:net";
import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { dripBytes, floodBytes, RawServer } from "@jujubeladder/standins";
import { monotonicMs, sleep } from "@jujubeladder/utils";
import { PeerDirectory } from "../peer_directory.js";
import { servePeers } from "../serve_peers.js";

const CALL_MS = 1_500;
const LONG_CALL_MS = 60_000;
const DRIP_INTERVAL_MS = 50;
/** Limits of both sides, and a busy machine. */
const MAX_MS = 15_000;
const MAX_GROWTH_BYTES = 256 * 1_048_576;

/** An HTTP/2 frame without a payload of interest. */
function toFrame(type: number, payload: string): string {
  const length = String.fromCharCode(0, 0, payload.length);
  return `${length}${String.fromCharCode(type)}\0\0\0\0\0${payload}`;
}

const SETTINGS = toFrame(4, "");
const PING = toFrame(6, "12345678");
const CASES: Readonly<Record<string, readonly [start: string, rest: string]>> =
  {
    "another protocol": ["", "HTTP/1.1 200 OK\r\n"],
    "a frame": [`${SETTINGS}\0\x40\0\0\0\0\0\0\x01`, "x"],
    settings: ["", SETTINGS],
    pings: [SETTINGS, PING],
    "unknown frames": [SETTINGS, toFrame(99, "x")],
  };

type Send = (socket: Socket, text: string) => void;

const WAYS: Readonly<Record<string, Send>> = {
  drip: (socket, text) => {
    dripBytes(socket, text, DRIP_INTERVAL_MS);
  },
  flood: (socket, text) => {
    floodBytes(socket, text);
  },
};

function createDirectory(port: number): PeerDirectory {
  return new PeerDirectory((instanceId) => ({
    instanceId,
    host: "127.0.0.1",
    peerPort: port,
    region: "r1",
    availabilityZone: "r1-a",
    state: "live",
  }));
}

async function settle(call: Promise<unknown> | undefined): Promise<string> {
  return await Promise.resolve(call).then(
    () => "answered",
    () => "failed",
  );
}

async function waitUntil(condition: () => boolean): Promise<boolean> {
  const untilMs = monotonicMs() + MAX_MS;
  while (!condition()) {
    if (monotonicMs() > untilMs) return false;
    await sleep(50);
  }
  return true;
}

/** Plays all cases at once; returns those in which `isEnded` was false. */
async function findEndless(
  cases: typeof CASES,
  isEnded: (bytes: readonly [string, string]) => Promise<boolean>,
): Promise<readonly string[]> {
  const names = await Promise.all(
    Object.entries(cases).map(async ([name, bytes]) =>
      (await isEnded(bytes)) ? [] : [name],
    ),
  );
  return names.flat();
}

for (const [way, send] of Object.entries(WAYS)) {
  test(`calls and connections end when a peer sends no answer: ${way}`, async () => {
    const endless = await findEndless(CASES, async ([start, rest]) => {
      const server = new RawServer((socket) => {
        socket.setDefaultEncoding("latin1");
        socket.write(start);
        send(socket, rest);
      });
      const directory = createDirectory(await server.start());
      try {
        const call = directory
          .find("peer")
          ?.gossip({}, { timeoutMs: LONG_CALL_MS });
        const outcome = await Promise.race([settle(call), sleep(MAX_MS)]);
        const isClosed = await waitUntil(() => server.openCount === 0);
        return outcome === "failed" && isClosed;
      } finally {
        directory.close();
        server.stop();
      }
    });
    assert.equal(endless, []);
  });
}

for (const way of ["drip", "flood"]) {
  test(`a call ends when a response's body does not: ${way}`, async () => {
    const server = createServer();
    server.on("stream", (stream: ServerHttp2Stream) => {
      stream.on("error", () => undefined);
      stream.respond({ ":status": 200, "content-type": "application/proto" });
      const chunk = Buffer.alloc(way === "flood" ? 65_536 : 1);
      const write = () => {
        if (stream.writable) stream.write(chunk);
      };
      if (way === "drip") {
        const timer = setInterval(write, DRIP_INTERVAL_MS);
        stream.once("close", () => {
          clearInterval(timer);
        });
      } else {
        stream.on("drain", write);
        write();
      }
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const directory = createDirectory((server.address() as AddressInfo).port);
    const before = process.memoryUsage().rss;
    let peak = before;
    const timer = setInterval(() => {
      peak = Math.max(peak, process.memoryUsage().rss);
    }, 10);
    const timeoutMs = way === "drip" ? CALL_MS : LONG_CALL_MS;
    try {
      const call = directory.find("peer")?.gossip({}, { timeoutMs });
      const outcome = await Promise.race([settle(call), sleep(MAX_MS)]);
      assert.is(outcome, "failed");
      assert.ok(peak - before < MAX_GROWTH_BYTES, `${peak - before} bytes`);
    } finally {
      clearInterval(timer);
      directory.close();
      server.close();
    }
  });
}

const PREFACE = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const CLIENT_CASES: typeof CASES = {
  "another protocol": ["", "GET / HTTP/1.1\r\n"],
  "half a preface": [PREFACE.slice(0, 5), ""],
  "a frame": [`${PREFACE}${SETTINGS}\0\x40\0\0\0\0\0\0\x01`, "x"],
  pings: [`${PREFACE}${SETTINGS}`, PING],
  "unknown frames": [`${PREFACE}${SETTINGS}`, toFrame(99, "x")],
};
for (const [way, send] of Object.entries(WAYS)) {
  test(`a server closes a connection that brings no call: ${way}`, async () => {
    const server = await servePeers({}, { host: "127.0.0.1", port: 0 });
    const { port } = server.address() as AddressInfo;
    const endless = await findEndless(CLIENT_CASES, async ([start, rest]) => {
      const socket = connect({ host: "127.0.0.1", port });
      socket.setDefaultEncoding("latin1");
      socket.on("error", () => undefined);
      socket.resume();
      try {
        await once(socket, "connect");
        socket.write(start);
        if (rest !== "") send(socket, rest);
        return await waitUntil(() => socket.closed);
      } finally {
        socket.destroy();
      }
    });
    server.close();
    assert.equal(endless, []);
  });
}

test("a connection in use is not closed", async () => {
  const server = await servePeers(
    { gossip: () => ({}) },
    { host: "127.0.0.1", port: 0 },
  );
  let connectionCount = 0;
  server.on("connection", () => {
    connectionCount += 1;
  });
  const directory = createDirectory((server.address() as AddressInfo).port);
  try {
    for (let round = 0; round < 6; round += 1) {
      const call = directory.find("peer")?.gossip({}, { timeoutMs: CALL_MS });
      assert.is(await settle(call), "answered");
      await sleep(2_000);
    }
    assert.is(connectionCount, 1);
  } finally {
    directory.close();
    server.close();
  }
});

test.run();
