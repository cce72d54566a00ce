import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { Logger } from "@jujubeladder/logger";
import {
  DigestSchema,
  PeerDatagramSchema,
  ViewStateSchema,
  type Digest,
} from "@jujubeladder/protocol";
import { reservePort } from "@jujubeladder/standins";
import { sleep } from "@jujubeladder/utils";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { PeerDatagrams } from "../peer_datagrams.js";

const test = suite("peer datagrams");
const HOST = "127.0.0.1";
/** The time-out of an answer, with a margin. */
const MAX_EXCHANGE_MS = 900;

const VIEW = create(ViewStateSchema, { configVersion: 7n, runnersAgeMs: 5 });

let closers: (() => void)[] = [];
test.after.each(() => {
  for (const close of closers) close();
  closers = [];
});

function createDigest(name: string): Digest {
  const sender = { instanceId: name, incarnation: `${name}-1` };
  return create(DigestSchema, { sender });
}

/** Opens a socket that answers with a digest named after itself. */
async function openPeer(name: string) {
  const socket = new PeerDatagrams(new Logger({}));
  const endpoint = { host: HOST, port: await reservePort() };
  const received: (string | undefined)[] = [];
  const announcements: number[] = [];
  await socket.listen(endpoint, {
    digest: (digest) => {
      received.push(digest.sender?.instanceId);
      return createDigest(name);
    },
    viewQuery: () => VIEW,
    viewAnnouncement: ({ port }) => {
      announcements.push(port);
    },
  });
  closers.push(() => {
    socket.close();
  });
  return { socket, endpoint, received, announcements };
}

/** Opens a plain UDP socket. */
async function openPlain(): Promise<{ socket: Socket; port: number }> {
  const socket = createSocket("udp4").bind(0, HOST);
  await once(socket, "listening");
  closers.push(() => socket.close());
  return { socket, port: (socket.address() as AddressInfo).port };
}

test("two peers exchange their digests", async () => {
  const a = await openPeer("a");
  const b = await openPeer("b");
  const answers = await Promise.all([
    a.socket.exchangeDigests(b.endpoint, createDigest("a")),
    b.socket.exchangeDigests(a.endpoint, createDigest("b")),
  ]);
  assert.equal(
    answers.map((answer) => answer?.sender?.instanceId),
    ["b", "a"],
  );
  assert.equal([a.received, b.received], [["b"], ["a"]]);
});

test("a peer tells its view and announces changes of it", async () => {
  const a = await openPeer("a");
  const b = await openPeer("b");
  assert.equal(await a.socket.queryView(b.endpoint), VIEW);
  b.socket.announceView(a.endpoint, VIEW);
  await a.socket.queryView(b.endpoint);
  assert.equal(a.announcements, [b.endpoint.port]);
});

test("a peer that does not answer ends the exchange in time", async () => {
  const a = await openPeer("a");
  const silent = await openPlain();
  for (const port of [silent.port, await reservePort()]) {
    const startedAtMs = performance.now();
    const endpoint = { host: HOST, port };
    assert.is(
      await a.socket.exchangeDigests(endpoint, createDigest("a")),
      undefined,
    );
    assert.ok(performance.now() - startedAtMs < MAX_EXCHANGE_MS);
  }
});

test("a digest that does not fit into a datagram is not sent", async () => {
  const a = await openPeer("a");
  const b = await openPeer("b");
  const digest = createDigest("a");
  digest.leavingRunners = Array.from({ length: 200 }, (_, n) => `runner-${n}`);
  assert.is(await a.socket.exchangeDigests(b.endpoint, digest), undefined);
  assert.equal(b.received, []);
});

test("only the peer that was asked answers an exchange", async () => {
  const a = await openPeer("a");
  const asked = await openPlain();
  const other = await openPlain();
  asked.socket.on("message", (bytes, from) => {
    const { exchangeId } = fromBinary(PeerDatagramSchema, bytes);
    const answer = (name: string, id: number) =>
      toBinary(
        PeerDatagramSchema,
        create(PeerDatagramSchema, {
          exchangeId: id,
          isAnswer: true,
          content: { case: "digest", value: createDigest(name) },
        }),
      );
    other.socket.send(answer("other", exchangeId), from.port, HOST);
    const otherId = (exchangeId + 1) % 2 ** 32;
    asked.socket.send(answer("another exchange", otherId), from.port, HOST);
    void sleep(50).then(() => {
      asked.socket.send(answer("asked", exchangeId), from.port, HOST);
      asked.socket.send(answer("repeated", exchangeId), from.port, HOST);
    });
  });
  const endpoint = { host: HOST, port: asked.port };
  const answer = await a.socket.exchangeDigests(endpoint, createDigest("a"));
  assert.is(answer?.sender?.instanceId, "asked");
});

test("bytes that are no datagram of the protocol are passed over", async () => {
  const a = await openPeer("a");
  const b = await openPeer("b");
  const { socket } = await openPlain();
  for (const bytes of [Buffer.alloc(0), Buffer.alloc(1_000, 0xff)]) {
    socket.send(bytes, b.endpoint.port, HOST);
  }
  await sleep(50);
  const answer = await a.socket.exchangeDigests(b.endpoint, createDigest("a"));
  assert.is(answer?.sender?.instanceId, "b");
  assert.equal(b.received, ["a"]);
});

test("addresses and values that cannot be sent end nothing", async () => {
  const a = await openPeer("a");
  for (const port of [0, Number.NaN, 70_000]) {
    const endpoint = { host: HOST, port };
    const digest = createDigest("a");
    assert.is(await a.socket.exchangeDigests(endpoint, digest), undefined);
  }
  const view = create(ViewStateSchema, { configAgeMs: 2 ** 33 });
  a.socket.announceView({ host: HOST, port: a.endpoint.port }, view);
});

test("a handler that throws leaves the socket open", async () => {
  const a = await openPeer("a");
  const failing = new PeerDatagrams(new Logger({}));
  const endpoint = { host: HOST, port: await reservePort() };
  await failing.listen(endpoint, {
    digest: () => {
      throw new Error("no digest");
    },
    viewQuery: () => VIEW,
    viewAnnouncement: () => undefined,
  });
  closers.push(() => {
    failing.close();
  });
  const digest = createDigest("a");
  assert.is(await a.socket.exchangeDigests(endpoint, digest), undefined);
  assert.equal(await a.socket.queryView(endpoint), VIEW);
});

test("a socket whose port is taken exchanges nothing", async () => {
  const a = await openPeer("a");
  const second = new PeerDatagrams(new Logger({}));
  await second.listen(a.endpoint, {
    digest: () => createDigest("second"),
    viewQuery: () => VIEW,
    viewAnnouncement: () => undefined,
  });
  const b = await openPeer("b");
  assert.is(
    await second.exchangeDigests(b.endpoint, createDigest("second")),
    undefined,
  );
});

test("closing ends the exchanges that wait", async () => {
  const a = await openPeer("a");
  const silent = await openPlain();
  const endpoint = { host: HOST, port: silent.port };
  const exchange = a.socket.exchangeDigests(endpoint, createDigest("a"));
  a.socket.close();
  assert.is(await exchange, undefined);
});

test.run();
