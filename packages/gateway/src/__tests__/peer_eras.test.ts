import { create } from "@bufbuild/protobuf";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { Logger } from "@jujubeladder/logger";
import { DigestSchema } from "@jujubeladder/protocol";
import { LoadTracker } from "../decisions/load_tracker.js";
import { createGossipExtension } from "../mesh/create_gossip_extension.js";
import { PeerRoster } from "../mesh/peer_roster.js";
import type { GatewayCodec } from "../model/gateway_codec.js";
import { ActiveConfig } from "../views/active_config.js";
import { RunnerDirectory } from "../views/runner_directory.js";

const LOGGER = new Logger({});
const PEER = "127.0.0.1:2";

/** The gossip of an instance whose store has told the given era. */
function createExtension(era: number) {
  const roster = new PeerRoster("127.0.0.1:1", []);
  const claims: unknown[] = [];
  const extension = createGossipExtension({
    roster,
    loadTracker: new LoadTracker(() => roster.countByRegion()),
    activeConfig: new ActiveConfig({} as GatewayCodec, LOGGER),
    directory: new RunnerDirectory(LOGGER),
    store: {
      era,
      recordPeerEra: (claimed, peerId) => {
        claims.push([claimed, peerId]);
      },
    },
    logger: LOGGER,
  });
  return { extension, claims };
}

function createDigest(storeEra?: bigint) {
  return create(DigestSchema, {
    sender: { instanceId: PEER, incarnation: "i" },
    region: "r1",
    availabilityZone: "z1",
    ...(storeEra === undefined ? {} : { storeEra }),
  });
}

test("an instance hears of a restore from a digest", () => {
  const { storeEra } = createExtension(2).extension.describe();
  const { extension, claims } = createExtension(1);
  extension.merge(createDigest(storeEra));
  assert.equal(claims, [[2, PEER]]);
});

test("a digest of an instance that knows of no eras tells none", () => {
  const { extension, claims } = createExtension(1);
  extension.merge(createDigest());
  assert.equal(claims, []);
});

test.run();
