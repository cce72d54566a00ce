import { create } from "@bufbuild/protobuf";
import { ViewStateSchema } from "@jujubeladder/protocol";
import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { PeerDirectory, servePeers } from "@jujubeladder/coordination";
import { Logger } from "@jujubeladder/logger";
import { sleep } from "@jujubeladder/utils";
import { PeerStoreReader } from "../mesh/peer_store_reader.js";
import { StoreReadHealth } from "../views/store_read_health.js";
import { stallProcess } from "./stall_process.js";

const LOGGER = new Logger({});

/** Starts a peer that responds to watches of runners after the given time. */
async function startReader(responseMs: (waitMs: number) => number) {
  const server = await servePeers(
    {
      watchRunners: async ({ asOf, waitMs }) => {
        await sleep(responseMs(waitMs));
        return { asOf, ageMs: 0 };
      },
    },
    { host: "127.0.0.1", port: 0 },
  );
  const { port } = server.address() as AddressInfo;
  const peers = new PeerDirectory((instanceId) => ({
    instanceId,
    host: "127.0.0.1",
    peerPort: port,
    region: "r",
    availabilityZone: "z",
    state: "live",
  }));
  const client = peers.find("reader");
  assert.ok(client);
  if (!client) throw new Error("the peer has no client");
  const close = () => {
    peers.close();
    server.close();
  };
  // Of a peer that is behind, so that calls wait for it.
  const view = create(ViewStateSchema);
  const reader = new PeerStoreReader(
    "reader",
    client,
    async () => view,
    () => undefined,
  );
  return { reader, close };
}

test("a stall of this process does not pass for a reader's silence", async () => {
  const { reader, close } = await startReader((waitMs) => waitMs);
  const first = await reader.watchRunners({
    asOf: { era: 0, revision: 1 },
    waitMs: 10,
  });
  assert.ok(first.ok);
  const result = reader.watchRunners({
    asOf: { era: 0, revision: 1 },
    waitMs: 100,
  });
  await sleep(50);
  stallProcess(600);
  assert.ok((await result).ok);
  close();
});

test("a silent reader fails 0.3 s after the requested wait", async () => {
  const { reader, close } = await startReader(() => 2_000);
  const startedAtMs = performance.now();
  const result = await reader.watchRunners({
    asOf: { era: 0, revision: 1 },
    waitMs: 100,
  });
  const elapsedMs = performance.now() - startedAtMs;
  assert.not(result.ok);
  assert.ok(elapsedMs >= 390 && elapsedMs < 600, `after ${elapsedMs} ms`);
  close();
});

test("a stall of this process does not pass for an overdue read", async () => {
  const health = new StoreReadHealth("runners", { logger: LOGGER });
  health.recordCall(0);
  stallProcess(500);
  // Timers that are due run before anything that has arrived is read.
  await sleep(0);
  assert.ok(health.isHealthy);
  await sleep(250);
  assert.not(health.isHealthy, "nothing arrived after the stall either");
  health.recordSuccess();
  assert.ok(health.isHealthy);
});

test.run();
