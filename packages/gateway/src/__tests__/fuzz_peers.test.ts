import process from "node:process";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  DigestSchema,
  PeerDatagramSchema,
  RunnerEntrySchema,
} from "@jujubeladder/protocol";
import { decodeRunnerEntry } from "../mesh/decode_runner_entry.js";
import { encodeRunnerEntries } from "../mesh/encode_runner_entries.js";
import { parseAddress } from "../mesh/parse_address.js";
import { PeerRoster } from "../mesh/peer_roster.js";

/** `FUZZ_RUNS` and `FUZZ_SEED` play more of them, or others. */
const OPTIONS = {
  numRuns: Number(process.env["FUZZ_RUNS"] ?? 300),
  seed: Number(process.env["FUZZ_SEED"] ?? 1),
};

const LOCATION = { region: "r1", availabilityZone: "z1" };

const uint32 = fc.oneof(
  fc.integer({ min: 0, max: 2 ** 32 - 1 }),
  fc.integer({ min: 0, max: 70_000 }),
);
const text = fc.oneof(
  fc.string(),
  fc.string({ unit: "binary" }),
  fc.constantFrom("", "10.0.0.1", "999.1.1.1", "a\r\nb", "__proto__", "r1"),
);
const entry = fc.record({
  runnerId: text,
  isRemoved: fc.boolean(),
  serviceId: text,
  host: fc.oneof(fc.ipV4(), text),
  port: uint32,
  region: text,
  availabilityZone: text,
  isLeaving: fc.boolean(),
  slots: uint32,
  startedAtMs: fc.oneof(
    fc.bigInt({ min: 0n, max: 2n ** 64n - 1n }),
    fc.bigInt({ min: 0n, max: 2n ** 53n - 1n }),
  ),
  coldLeftMs: uint32,
});

test("what a peer lists can be told to any other peer, or is left out", () => {
  let listed = 0;
  fc.assert(
    fc.property(entry, (given) => {
      const decoded = decodeRunnerEntry(create(RunnerEntrySchema, given));
      if (!decoded.ok) return;
      listed += 1;
      const changes = [decoded.value];
      const [encoded] = encodeRunnerEntries({
        type: "changes",
        changes,
        asOf: { era: 0, revision: 1 },
        ageMs: 0,
      });
      const bytes = toBinary(
        RunnerEntrySchema,
        create(RunnerEntrySchema, encoded),
      );
      const again = decodeRunnerEntry(fromBinary(RunnerEntrySchema, bytes));
      assert.ok(again.ok);
      if (decoded.value.type !== "put" || again.value.type !== "put") return;
      const { port, slots, startedAtMs } = decoded.value.runner;
      assert.ok(port >= 1 && port <= 65_535);
      assert.ok(slots >= 1 && slots <= 65_535);
      assert.ok(Number.isSafeInteger(startedAtMs));
      assert.equal(
        { ...again.value.runner, warmAtMs: 0 },
        { ...decoded.value.runner, warmAtMs: 0 },
      );
    }),
    OPTIONS,
  );
  assert.ok(listed > 0);
});

test("any bytes are a datagram or are refused, and no member harms another", () => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 1_400 }), (bytes) => {
      try {
        fromBinary(PeerDatagramSchema, bytes);
      } catch (error) {
        assert.instance(error, Error);
      }
    }),
    OPTIONS,
  );
  const member = fc.record({
    address: fc.oneof(
      text,
      fc
        .tuple(fc.oneof(fc.ipV4(), text), fc.oneof(uint32, text))
        .map(([host, port]) => `${host}:${port}`),
    ),
    region: text,
    availabilityZone: text,
    heardAgeMs: uint32,
  });
  fc.assert(
    fc.property(fc.array(member), fc.nat(20), (members, at) => {
      const sound = { ...LOCATION, address: "10.0.0.9:80", heardAgeMs: 1 };
      const digest = create(DigestSchema, {
        members: [...members.slice(0, at), sound, ...members.slice(at)],
      });
      const roster = new PeerRoster("10.0.0.1:1", []);
      for (const peer of digest.members) {
        roster.record({ ...peer, ageMs: peer.heardAgeMs });
      }
      const instances = roster.listInstances();
      assert.ok(instances.some((peer) => peer.instanceId === sound.address));
      for (const { instanceId, host, peerPort } of instances) {
        assert.ok(URL.canParse(`http://${host}:${peerPort}`), instanceId);
        assert.ok(peerPort >= 1 && peerPort <= 65_535);
        assert.equal(parseAddress(instanceId), { host, port: peerPort });
      }
    }),
    OPTIONS,
  );
});

test.run();
