import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { DigestSchema, type Digest } from "@jujubeladder/protocol";
import { sleep } from "@jujubeladder/utils";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { decodePartEvidence } from "../decode_part_evidence.js";
import { encodePartEvidence } from "../encode_part_evidence.js";
import { PART_EVIDENCE_LIMITS } from "../part_evidence_limits.js";
import type { PartSuspicion } from "../part_suspicion.js";
import { FakeFleet } from "./fake_fleet.js";

const test = suite("part evidence");
const MAX_AGE_MS = 2 ** 32 - 1;
const LIMITS = PART_EVIDENCE_LIMITS;
const PEER = { instanceId: "instance-1", incarnation: "instance-1-1" };

function suspect(
  partId: string,
  losses: Readonly<Record<string, number>>,
  livedAgeMs?: number,
): PartSuspicion {
  return {
    partId,
    losses: Object.entries(losses).map(([incarnationId, ageMs]) => ({
      incarnationId,
      ageMs,
    })),
    livedAgeMs,
  };
}

function sendAndReceive(entries: readonly PartSuspicion[]) {
  const digest = create(DigestSchema, encodePartEvidence(entries));
  return decodePartEvidence(
    fromBinary(DigestSchema, toBinary(DigestSchema, digest)),
  );
}

/** Lets the first of two instances hear a digest of the second. */
function hear(digest: Digest) {
  const [own] = new FakeFleet({ size: 2, seed: 1, delayMs: 0 }).members;
  if (!own) throw new Error("no instance");
  const answer = own.membership.handleDigest(digest);
  return { answer, merged: own.parts.merged, own };
}

test("a peer reads the parts and losses that a digest was sent with", () => {
  const entries = [
    suspect("5c1e07a2", { "engine-1@17": 3, "engine-2@18": 900 }, 40),
    suspect("91bd3f06", { "engine-2@18": 900 }),
    suspect("e4402b7d", {}, 0),
  ];
  assert.equal(sendAndReceive(entries), entries);
});

test("parts with the same losses name each of them once", () => {
  const losses = { "engine-1@17": 3, "engine-2@18": 900 };
  const { runnerLosses } = encodePartEvidence(
    ["a", "b", "c"].map((partId) => suspect(partId, losses)),
  );
  assert.equal(
    runnerLosses.map(({ incarnationId }) => incarnationId),
    ["engine-1@17", "engine-2@18"],
  );
});

test("ages that are no whole numbers of 32 bits can be sent", () => {
  const losses = { a: -5, b: 1.4, c: 2 ** 40, d: Infinity, e: -Infinity };
  const [entry] = sendAndReceive([suspect("part", losses, Infinity)]);
  const { a, b, c, d, e } = Object.fromEntries(
    entry?.losses.map((loss) => [loss.incarnationId, loss.ageMs]) ?? [],
  );
  assert.equal([a, b, c, d, e], [0, 1, MAX_AGE_MS, MAX_AGE_MS, 0]);
  assert.is(entry?.livedAgeMs, MAX_AGE_MS);
});

test("an unknown age leaves out its loss and no other", () => {
  const received = sendAndReceive([
    suspect("odd", { a: NaN, b: 7 }, NaN),
    suspect("sound", { a: 8 }, 9),
  ]);
  assert.equal(received, [
    suspect("odd", { b: 7 }),
    suspect("sound", { a: 8 }, 9),
  ]);
});

test("entries without a proper id are not sent", () => {
  const long = "x".repeat(LIMITS.idLength + 1);
  const received = sendAndReceive([
    suspect("", { a: 1 }),
    suspect(long, { a: 1 }),
    suspect("sound", { "": 1, [long]: 2, a: 3 }),
  ]);
  assert.equal(received, [suspect("sound", { a: 3 })]);
});

test("a list beyond the limits is cut before it is sent", () => {
  const losses = Object.fromEntries(
    Array.from({ length: 50 }, (_, index) => [`engine-${index}`, index]),
  );
  const received = sendAndReceive(
    Array.from({ length: 100 }, (_, index) => suspect(`p${index}`, losses)),
  );
  assert.is(received.length, LIMITS.parts);
  assert.is(received[0]?.partId, "p0");
  assert.is(received[0]?.losses.length, LIMITS.lossesPerPart);
});

test("a peer's odd entries are left out and harm no other", () => {
  const long = "x".repeat(LIMITS.idLength + 1);
  const digest = create(DigestSchema, {
    sender: PEER,
    partSuspicions: [
      { partId: "", lossIndexes: [0] },
      { partId: long, lossIndexes: [0] },
      { partId: "no such loss", lossIndexes: [7, MAX_AGE_MS] },
      { partId: "loss without a name", lossIndexes: [1, 2, 0] },
      { partId: "repeated loss", lossIndexes: [0, 0, 0, 3] },
    ],
    runnerLosses: [
      { incarnationId: "engine-1@17", ageMs: 5 },
      { incarnationId: "" },
      { incarnationId: long },
      { incarnationId: "engine-1@17", ageMs: 5 },
    ],
  });
  const { merged } = hear(digest);
  assert.equal(merged, [
    [
      suspect("no such loss", {}),
      suspect("loss without a name", { "engine-1@17": 5 }),
      suspect("repeated loss", { "engine-1@17": 5 }),
    ],
  ]);
});

test("a peer's list beyond the limits is cut before it is merged", () => {
  const count = 1_000;
  const { merged } = hear(
    create(DigestSchema, {
      sender: PEER,
      partSuspicions: Array.from({ length: count }, (_, index) => ({
        partId: `p${index}`,
        lossIndexes: Array.from({ length: count }, (__, loss) => loss),
      })),
      runnerLosses: Array.from({ length: count }, (_, index) => ({
        incarnationId: `engine-${index}`,
      })),
    }),
  );
  const [entries] = merged;
  assert.is(entries?.length, LIMITS.parts);
  assert.is(entries?.[0]?.losses.length, LIMITS.lossesPerPart);
});

test("a digest of an older instance tells nothing of parts", () => {
  const { own, merged } = hear(create(DigestSchema, { sender: PEER }));
  assert.equal(merged, []);
  assert.equal(
    own.membership.listAlive().map((peer) => peer.instanceId),
    [PEER.instanceId],
  );
});

test("fields of a newer instance are passed over", () => {
  const entries = [suspect("part", { "engine-1@17": 3 })];
  const digest = create(DigestSchema, {
    sender: PEER,
    ...encodePartEvidence(entries),
  });
  // Field 100, of two bytes.
  const unknown = Uint8Array.of(0xa2, 0x06, 0x02, 0x41, 0x42);
  const bytes = Buffer.concat([toBinary(DigestSchema, digest), unknown]);
  assert.equal(hear(fromBinary(DigestSchema, bytes)).merged, [entries]);
});

test("the answer to a digest carries what it has just told", async () => {
  const { answer } = hear(
    create(DigestSchema, {
      sender: PEER,
      ...encodePartEvidence([suspect("part", { "engine-1@17": 3 })]),
    }),
  );
  await sleep(0);
  const [entry] = decodePartEvidence(answer);
  assert.is(entry?.partId, "part");
  assert.is(entry?.losses[0]?.incarnationId, "engine-1@17");
});

test.run();
