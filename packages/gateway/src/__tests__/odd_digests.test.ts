import process from "node:process";
import {
  create,
  fromBinary,
  toBinary,
  type MessageInitShape,
} from "@bufbuild/protobuf";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  PeerDatagrams,
  PeerDirectory,
  Quarantine,
  type Membership,
} from "@jujubeladder/coordination";
import { Logger } from "@jujubeladder/logger";
import { DigestSchema, type Digest } from "@jujubeladder/protocol";
import { sleep } from "@jujubeladder/utils";
import { LoadTracker } from "../decisions/load_tracker.js";
import { Placement } from "../decisions/placement.js";
import { createMembership } from "../mesh/create_membership.js";
import { PeerRoster } from "../mesh/peer_roster.js";
import type { GatewayCodec } from "../model/gateway_codec.js";
import { ActiveConfig } from "../views/active_config.js";
import { RunnerDirectory } from "../views/runner_directory.js";

const LOGGER = new Logger({});
const OWN_ADDRESS = "127.0.0.1:1";
const SOUND_ADDRESS = "127.0.0.1:2";
const LOCATION = { region: "r1", availabilityZone: "z1" };
const GOSSIP_MS = 100;

const ODD_ADDRESSES = [
  "",
  ":",
  "nowhere",
  "127.0.0.1",
  "127.0.0.1:",
  "127.0.0.1:0",
  "127.0.0.1:99999",
  "127.0.0.1:-1",
  "127.0.0.1:1e3",
  "127.0.0.1:0.5",
  "999.1.1.1:80",
  "a b:80",
  "user@10.0.0.1:80",
  "10.0.0.1/x:80",
  "[::1]:80",
  "\u{1f980}:80",
  `${"h".repeat(10_000)}:80`,
];

function createFleetView() {
  const roster = new PeerRoster(OWN_ADDRESS, []);
  const loadTracker = new LoadTracker(() => roster.countByRegion());
  const peers = new PeerDirectory((id) => roster.find(id));
  const peerDatagrams = new PeerDatagrams(LOGGER);
  const membership = createMembership({
    ownAddress: OWN_ADDRESS,
    settings: LOCATION,
    activeConfig: new ActiveConfig({} as GatewayCodec, LOGGER),
    directory: new RunnerDirectory(LOGGER),
    roster,
    peers,
    peerDatagrams,
    loadTracker,
    store: { era: 0, recordPeerEra: () => undefined },
    quarantine: new Quarantine(2),
    logger: LOGGER,
  });
  return { roster, loadTracker, peers, peerDatagrams, membership };
}

function handleDigest(
  membership: Membership,
  digest: Exclude<MessageInitShape<typeof DigestSchema>, Digest>,
): void {
  membership.handleDigest(
    create(DigestSchema, {
      sender: { instanceId: SOUND_ADDRESS, incarnation: "i" },
      ...LOCATION,
      ...digest,
    }),
  );
}

/** Gossips for a while; returns what would have ended the process. */
async function gossip(membership: Membership): Promise<readonly unknown[]> {
  const rejections: unknown[] = [];
  const onRejection = (reason: unknown) => {
    rejections.push(reason);
  };
  process.on("unhandledRejection", onRejection);
  const abort = new AbortController();
  const running = membership.run(abort.signal);
  await sleep(GOSSIP_MS);
  abort.abort();
  await running;
  await membership.pushToAll().catch(onRejection);
  process.off("unhandledRejection", onRejection);
  return rejections;
}

for (const address of ODD_ADDRESSES) {
  const name = JSON.stringify(address).slice(0, 40);
  test(`a member at ${name} ends no process and hides no other`, async () => {
    const { roster, peers, membership } = createFleetView();
    const member = { ...LOCATION, heardAgeMs: 1 };
    handleDigest(membership, {
      members: [
        { ...member, address },
        { ...member, address: "127.0.0.1:3" },
      ],
    });
    assert.equal(
      roster.listInstances().map(({ instanceId }) => instanceId),
      [SOUND_ADDRESS, "127.0.0.1:3"],
    );
    assert.equal(await gossip(membership), []);
    peers.close();
  });
}

test("a sender at an odd address is no peer", async () => {
  const { roster, peers, membership } = createFleetView();
  for (const instanceId of ODD_ADDRESSES) {
    handleDigest(membership, { sender: { instanceId, incarnation: "i" } });
  }
  assert.equal(roster.listInstances(), []);
  assert.equal(await gossip(membership), []);
  peers.close();
});

test("a fleet beyond any size takes no part of the retry budget", () => {
  const { roster, membership } = createFleetView();
  handleDigest(membership, { knownInstances: 300 });
  handleDigest(membership, { knownInstances: 2 ** 32 - 1 });
  assert.is(roster.peakInstanceCount, 300);
});

test("a load beyond any runner's closes no runner", () => {
  const { loadTracker, membership } = createFleetView();
  handleDigest(membership, {
    runnerShares: [
      { runnerId: "odd", requests: 2 ** 32 - 1 },
      { runnerId: "sound", requests: 3 },
    ],
  });
  assert.is(loadTracker.getLoad("odd").requests, 0);
  assert.is(loadTracker.getLoad("sound").requests, 3);
});

test("a load beyond the protocol's the protocol's numbers doesn't end the gossip", () => {
  for (const tokens of [2 ** 32, 1e308, Number.POSITIVE_INFINITY]) {
    const { loadTracker, membership } = createFleetView();
    for (let n = 0; n < 2; n += 1) {
      const work = { promptTokens: tokens, maxOutputTokens: tokens };
      loadTracker.place(new Placement("full", { ...work, prefixParts: [] }));
    }
    const digest = membership.handleDigest(create(DigestSchema));
    const [share] = fromBinary(
      DigestSchema,
      toBinary(DigestSchema, digest),
    ).runnerShares;
    assert.is(share?.requests, 2);
    assert.is(share?.peakTokens, 2 ** 32 - 1);
    assert.is(share?.unreadTokens, 2 ** 32 - 1);
  }
});

test.run();
