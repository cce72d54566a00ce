import {
  PeerDatagrams,
  PeerDirectory,
  Quarantine,
  type Membership,
} from "@jujubeladder/coordination";
import { create } from "@bufbuild/protobuf";
import { Logger } from "@jujubeladder/logger";
import { DigestSchema, type Digest } from "@jujubeladder/protocol";
import { sleep } from "@jujubeladder/utils";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { LoadTracker } from "../decisions/load_tracker.js";
import type { GatewayCodec } from "../model/gateway_codec.js";
import { toIncarnationId } from "../model/to_incarnation_id.js";
import { createMembership } from "../mesh/create_membership.js";
import { PeerRoster } from "../mesh/peer_roster.js";
import { ActiveConfig } from "../views/active_config.js";
import { RunnerDirectory } from "../views/runner_directory.js";
import { createRunner } from "./create_runner.js";

const LOGGER = new Logger({});
const LOCATION = { region: "r1", availabilityZone: "r1-a" };
const A = createRunner("a");
const B = createRunner("b");
const A_ID = toIncarnationId(A);

interface Instance {
  readonly address: string;
  readonly directory: RunnerDirectory;
  readonly membership: Membership;
}

function createInstance(address: string): Instance {
  const roster = new PeerRoster(address, []);
  const directory = new RunnerDirectory(LOGGER);
  directory.replaceAll([A, B], { era: 0, revision: 100 });
  const membership = createMembership({
    ownAddress: address,
    settings: LOCATION,
    activeConfig: new ActiveConfig({} as GatewayCodec, LOGGER),
    directory,
    roster,
    peers: new PeerDirectory((id) => roster.find(id)),
    peerDatagrams: new PeerDatagrams(LOGGER),
    loadTracker: new LoadTracker(() => roster.countByRegion()),
    quarantine: new Quarantine(2),
    store: { era: 0, recordPeerEra: () => undefined },
    logger: LOGGER,
  });
  return { address, directory, membership };
}

function describe({ address, membership }: Instance): Digest {
  return membership.handleDigest(
    create(DigestSchema, {
      sender: { instanceId: `${address}0`, incarnation: "asking" },
      ...LOCATION,
    }),
  );
}

/** Gossips from one instance to another; returns what the first one told. */
async function gossip(from: Instance, to: Instance): Promise<Digest> {
  // Listeners of events run after the call that emits them.
  await sleep(0);
  const digest = describe(from);
  to.membership.handleDigest(digest);
  await sleep(0);
  return digest;
}

test("an absence seen by one instance does not condemn a runner at others", async () => {
  const one = createInstance("10.0.0.1:1");
  const other = createInstance("10.0.0.2:1");
  one.directory.replaceAll([B], { era: 1, revision: 60 });
  one.directory.remove("a", { era: 1, revision: 61 });
  const told = await gossip(one, other);
  assert.equal(told.leavingRunners, []);
  assert.not(other.directory.isLeaving("a"));
  const echo = await gossip(other, one);
  assert.equal(echo.leavingRunners, []);
  one.directory.put(A, { era: 1, revision: 62 });
  assert.not(one.directory.isLeaving("a"));
});

test("a runner that states it is leaving after its removal is told to peers", async () => {
  const one = createInstance("10.0.0.1:1");
  const other = createInstance("10.0.0.2:1");
  one.directory.remove("a", { era: 0, revision: 101 });
  one.directory.markLeaving(A_ID, "answer");
  const told = await gossip(one, other);
  assert.equal(told.leavingRunners, [A_ID]);
  assert.ok(other.directory.isLeaving("a"));
});

for (const source of ["answer", "refusal", "order", "report"] as const)
  test(`a runner that leaves by its ${source} is told to peers`, async () => {
    const one = createInstance("10.0.0.1:1");
    const other = createInstance("10.0.0.2:1");
    one.directory.markLeaving(A_ID, source);
    const told = await gossip(one, other);
    assert.equal(told.leavingRunners, [A_ID]);
    assert.ok(other.directory.isLeaving("a"));
    const passedOn = await gossip(other, createInstance("10.0.0.3:1"));
    assert.equal(passedOn.leavingRunners, [A_ID]);
  });

test("a runner listed as draining or started anew is told to peers", async () => {
  const one = createInstance("10.0.0.1:1");
  const other = createInstance("10.0.0.2:1");
  const asOf = { era: 0, revision: 101 };
  one.directory.put({ ...A, state: "leaving" }, asOf);
  one.directory.put(createRunner("b", { startedAtMs: 2 }), asOf);
  const told = await gossip(one, other);
  assert.equal([...told.leavingRunners].sort(), [A_ID, toIncarnationId(B)]);
});

test.run();
