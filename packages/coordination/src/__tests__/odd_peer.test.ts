import process from "node:process";
import { create } from "@bufbuild/protobuf";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { Logger } from "@jujubeladder/logger";
import { DigestSchema } from "@jujubeladder/protocol";
import type { Instance } from "@jujubeladder/types";
import { sleep } from "@jujubeladder/utils";
import type { GossipExtension } from "../gossip_extension.js";
import { LeavingRunners } from "../leaving_runners.js";
import { Membership } from "../membership.js";
import { PeerDirectory } from "../peer_directory.js";
import { Quarantine } from "../quarantine.js";
import { Successions } from "../successions.js";

const LOCATION = { region: "r1", availabilityZone: "z1" };
const GOSSIP_MS = 300;

const ODD_ADDRESSES = [
  { host: "10.0.0.1", peerPort: 99_999 },
  { host: "10.0.0.1", peerPort: -1 },
  { host: "a b", peerPort: 80 },
  { host: "999.1.1.1", peerPort: 80 },
  { host: "", peerPort: 80 },
];

function createMembership(
  instances: readonly Instance[],
  changes: {
    readonly extension?: GossipExtension;
    readonly revision?: () => number;
  } = {},
) {
  const directory = new PeerDirectory((id) =>
    instances.find(({ instanceId }) => instanceId === id),
  );
  const membership = new Membership(
    {
      identity: { instanceId: "own", incarnation: "own-1" },
      ...LOCATION,
      leavingRunners: new LeavingRunners(),
      quarantine: new Quarantine(2),
      successions: new Successions(1_000),
      revision: () => 1,
      documentHash: () => "",
      offerDocument: () => undefined,
      ...changes,
    },
    {
      directory,
      listInstances: () => instances,
      logger: new Logger({}),
      datagrams: { exchangeDigests: async () => Promise.resolve(undefined) },
      pace: () => ({ intervalMs: 50, nearFanout: 2 }),
    },
  );
  return { membership, directory };
}

function createInstance(
  instanceId: string,
  address: { readonly host: string; readonly peerPort: number },
): Instance {
  return { instanceId, ...address, ...LOCATION, state: "live" };
}

/** Runs a part of the gossip; returns what would have ended the process. */
async function collectRejections(
  run: () => Promise<unknown>,
): Promise<readonly string[]> {
  const rejections: string[] = [];
  const onRejection = (reason: unknown) => {
    rejections.push(String(reason));
  };
  process.on("unhandledRejection", onRejection);
  await run().catch(onRejection);
  await sleep(0);
  process.off("unhandledRejection", onRejection);
  return rejections;
}

for (const address of ODD_ADDRESSES) {
  test(`an instance listed at ${address.host}:${address.peerPort} ends no process`, async () => {
    const odd = createInstance("odd", address);
    const { membership, directory } = createMembership([odd]);
    const abort = new AbortController();
    const rejections = await collectRejections(async () => {
      const running = membership.run(abort.signal);
      await sleep(GOSSIP_MS);
      abort.abort();
      await running;
      await membership.pushToAll();
    });
    assert.equal(rejections, []);
    directory.close();
  });
}

test("a digest that can't be merged ends no process", async () => {
  const { membership } = createMembership([], {
    extension: {
      describe: () => ({ knownInstances: 1, members: [], runnerShares: [] }),
      merge: () => {
        throw new Error("odd");
      },
    },
  });
  const digest = create(DigestSchema, {
    sender: { instanceId: "other", incarnation: "other-1" },
  });
  const rejections = await collectRejections(async () => {
    membership.handleDigest(digest);
    await sleep(0);
  });
  assert.equal(rejections, []);
});

test("a digest that can't be made ends no process", async () => {
  const peer = createInstance("peer", { host: "127.0.0.1", peerPort: 1 });
  const { membership, directory } = createMembership([peer], {
    revision: () => 0.5,
  });
  const rejections = await collectRejections(async () =>
    membership.pushToAll(),
  );
  assert.equal(rejections, []);
  directory.close();
});

test.run();
