import type { AddressInfo } from "node:net";
import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { PeerDirectory, servePeers } from "@jujubeladder/coordination";
import type { WatchRunnersResponseSchema } from "@jujubeladder/protocol";
import { ViewStateSchema } from "@jujubeladder/protocol";
import { PeerStoreReader } from "../mesh/peer_store_reader.js";

const SOUND = {
  runnerId: "sound",
  serviceId: "app",
  host: "10.0.0.1",
  port: 9_000,
  region: "r1",
  availabilityZone: "z1",
  slots: 4,
  startedAtMs: 1n,
};
const ODD_ENTRIES = [
  { port: 99_999 },
  { port: 0 },
  { host: "999.1.1.1" },
  { host: "" },
  { slots: 0 },
  { slots: 4_294_967_295 },
  { startedAtMs: 2n ** 64n - 1n },
  { coldLeftMs: 4_294_967_295 },
  { runnerId: "line\r\nbreak" },
  { serviceId: "s".repeat(100_000) },
];

const ODD_REVISION = 2n ** 63n;

/** Watches the runners through a peer that gives the response. */
async function watchThroughPeer(
  response: MessageInitShape<typeof WatchRunnersResponseSchema>,
  view: MessageInitShape<typeof ViewStateSchema> = {},
) {
  const server = await servePeers(
    { watchRunners: () => ({ ageMs: 0, ...response }) },
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
  if (!client) throw new Error("the peer has no client");
  const refused: string[] = [];
  const reader = new PeerStoreReader(
    "reader",
    client,
    async () => Promise.resolve(create(ViewStateSchema, view)),
    (key) => refused.push(key),
  );
  const result = await reader.watchRunners({
    asOf: { era: 0, revision: 1 },
    waitMs: 10,
  });
  peers.close();
  server.close();
  return { result, refused };
}

for (const odd of ODD_ENTRIES) {
  const name = JSON.stringify(odd, (_key, value: unknown) =>
    typeof value === "bigint" ? String(value) : value,
  ).slice(0, 60);
  test(`an odd entry from a peer harms no other (${name})`, async () => {
    const entries = [{ ...SOUND, runnerId: "odd", ...odd }, SOUND];
    const asOf = 2n;
    const list = await watchThroughPeer({ asOf, isList: true, entries });
    if (!list.result.ok || list.result.value.type !== "list")
      throw new Error("there is no list");
    const { runners } = list.result.value;
    assert.equal(
      runners.map(({ runnerId }) => runnerId),
      ["sound"],
    );
    assert.is(list.refused.length, 1);
    const watch = await watchThroughPeer({ asOf, isList: false, entries });
    if (!watch.result.ok || watch.result.value.type !== "changes")
      throw new Error("there are no changes");
    const { changes } = watch.result.value;
    assert.equal(
      changes.map(({ type }) => type),
      ["removed", "put"],
    );
  });
}

test("a peer's revision beyond the safe range fails the read", async () => {
  // The store would be asked for changes after it, and have none for ever.
  const { result } = await watchThroughPeer({
    asOf: ODD_REVISION,
    isList: true,
    entries: [],
  });
  assert.not(result.ok);
  const unchanged = await watchThroughPeer(
    { asOf: 1n },
    { runnersAsOf: ODD_REVISION, runnersChangedAsOf: 1n, runnersAgeMs: 0 },
  );
  assert.not(unchanged.result.ok);
});

test.run();
