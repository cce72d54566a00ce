import type { Http2Server } from "node:http2";
import type { AddressInfo } from "node:net";
import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { Link } from "@jujubeladder/standins";
import { sleep } from "@jujubeladder/utils";
import { PeerDirectory } from "../peer_directory.js";
import { servePeers } from "../serve_peers.js";

/** Same timeout as a gossip call. */
const CALL_MS = 1_500;
const LONG_CALL_MS = 30_000;
/** Detection takes 1 s of silence and a probe timeout of 1 s. */
const DETECTION_MS = 2_300;
/** A connection silent for this long is probed before use. */
const STALE_MS = 1_200;

interface Context {
  readonly link: Link;
  readonly server: Http2Server;
  readonly directory: PeerDirectory;
  call(): Promise<"answered" | "failed">;
  longCall(): Promise<"answered" | "failed">;
  close(): void;
}

async function createContext(): Promise<Context> {
  const server = await servePeers(
    {
      gossip: () => ({}),
      runTicket: async () => {
        await sleep(LONG_CALL_MS);
        return { isNotOwner: true };
      },
    },
    { host: "127.0.0.1", port: 0 },
  );
  const link = new Link((server.address() as AddressInfo).port);
  await link.start();
  const directory = new PeerDirectory((instanceId) => ({
    instanceId,
    host: "127.0.0.1",
    peerPort: link.port,
    region: "r1",
    availabilityZone: "r1-a",
    state: "live",
  }));
  const settle = async (call: Promise<unknown> | undefined) =>
    await Promise.resolve(call).then(
      () => "answered" as const,
      () => "failed" as const,
    );
  return {
    link,
    server,
    directory,
    call: async () =>
      settle(directory.find("peer")?.gossip({}, { timeoutMs: CALL_MS })),
    longCall: async () =>
      settle(
        directory.find("peer")?.runTicket({}, { timeoutMs: LONG_CALL_MS }),
      ),
    close: () => {
      directory.close();
      link.stop();
      server.close();
    },
  };
}

test("reconnects to a peer whose connection stopped responding", async () => {
  const context = await createContext();
  try {
    assert.is(await context.call(), "answered");
    context.link.setMode("cut");
    await sleep(STALE_MS);
    assert.is(await context.call(), "failed");
    // New connections work; the old one stays unresponsive.
    context.link.setMode("open");
    await sleep(STALE_MS);
    assert.is(await context.call(), "answered");
    await sleep(STALE_MS);
    assert.is(await context.call(), "answered");
  } finally {
    context.close();
  }
});

test("replaces a connection that closes while it is being probed", async () => {
  const context = await createContext();
  try {
    assert.is(await context.call(), "answered");
    context.link.setMode("cut");
    await sleep(STALE_MS);
    const probing = context.call();
    await sleep(200);
    context.link.setMode("open");
    context.link.closeAll("end");
    await probing;
    for (let round = 0; round < 2; round += 1) {
      await sleep(STALE_MS);
      assert.is(await context.call(), "answered");
    }
  } finally {
    context.close();
  }
});

test("calls in flight on an unresponsive connection fail within seconds", async () => {
  const context = await createContext();
  try {
    assert.is(await context.call(), "answered");
    context.link.setMode("cut");
    const startedAtMs = Date.now();
    assert.is(await context.longCall(), "failed");
    assert.ok(Date.now() - startedAtMs < 2 * DETECTION_MS);
  } finally {
    context.close();
  }
});

test("a late error on a destroyed connection does not end the process", async () => {
  const context = await createContext();
  const uncaught: unknown[] = [];
  const recordError = (error: unknown) => uncaught.push(error);
  process.on("uncaughtException", recordError);
  try {
    assert.is(await context.call(), "answered");
    context.link.setMode("cut");
    void context.longCall();
    await sleep(DETECTION_MS);
    context.link.setMode("open");
    assert.is(await context.call(), "answered");
    context.link.closeAll("reset");
    await sleep(100);
    assert.equal(uncaught, []);
  } finally {
    process.off("uncaughtException", recordError);
    context.close();
  }
});

test.run();
