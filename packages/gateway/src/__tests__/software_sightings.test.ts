import { readClocks } from "@jujubeladder/utils";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { findDepartedSoftware } from "../decisions/find_departed_software.js";
import type { GatewayRunner } from "../model/gateway_runner.js";
import type { RunnerListRead } from "../model/runner_list_read.js";
import { SoftwareSightings } from "../views/software_sightings.js";
import { createRunner } from "./create_runner.js";

const OLD = createRunner("old", { softwareVersion: "v1" });
const NEW = createRunner("new", { softwareVersion: "v2" });
const ENTRY_LIFETIME_MS = 3_000;
const FIRST = { era: 1, revision: 10 };
const ALL = {
  knownForMs: Number.POSITIVE_INFINITY,
  knownUpTo: FIRST,
  departed: [],
};

function readList(listAgeMs: number, asOf = FIRST): RunnerListRead {
  const { monotonicMs, wallMs } = readClocks();
  const readAt = {
    monotonicMs: monotonicMs - listAgeMs,
    wallMs: wallMs - listAgeMs,
  };
  return { asOf, readAt, isWholeList: true };
}

function create(
  listed: readonly GatewayRunner[],
  listAgeMs = 0,
): SoftwareSightings {
  const sightings = new SoftwareSightings(() => listed, {
    entryLifetimeMs: ENTRY_LIFETIME_MS,
  });
  sightings.recordRead(readList(listAgeMs));
  return sightings;
}

test("one listed version is not taken for the only one without its history", () => {
  const sightings = create([OLD]);
  assert.is(sightings.findOnlyListed("writer"), undefined);
  sightings.recordHistory({ ...ALL, knownForMs: 5_000 });
  assert.is(sightings.findOnlyListed("writer"), undefined);
  sightings.recordHistory(ALL);
  assert.is(sightings.findOnlyListed("writer"), "v1");
});

test("an instance that is cut off tells where its streams begin", () => {
  const sightings = create([OLD], 10_000);
  sightings.recordHistory(ALL);
  assert.ok(sightings.mayHaveSeveral("writer"));
  const current = create([OLD]);
  current.recordHistory(ALL);
  assert.not(current.mayHaveSeveral("writer"));
});

test("a version whose last runner has left still counts", () => {
  const sightings = create([NEW]);
  sightings.recordHistory(ALL);
  sightings.recordSighting(OLD);
  assert.is(sightings.findOnlyListed("writer"), undefined);
  assert.is(sightings.findOnlyListed("other"), undefined);
});

test("a version that a peer has seen leave counts", () => {
  const teller = create([NEW]);
  teller.recordHistory(ALL);
  teller.recordSighting(OLD);
  const told = create([NEW]);
  const departed = teller.listDeparted();
  told.recordHistory({ ...ALL, knownForMs: teller.knownForMs, departed });
  assert.is(told.findOnlyListed("writer"), undefined);
});

test("a runner without a version is not taken for the only version", () => {
  const sightings = create([createRunner("odd", { softwareVersion: "" })]);
  sightings.recordHistory(ALL);
  assert.is(sightings.findOnlyListed("writer"), undefined);
});

test("a history tells of the versions that were listed and are not", () => {
  const changes = [
    { type: "put", runner: OLD },
    { type: "put", runner: NEW },
    { type: "removed", runnerId: "old" },
  ] as const;
  const departed = findDepartedSoftware(changes, (runnerId) =>
    runnerId === "new" ? NEW : undefined,
  );
  assert.equal(departed, [
    { serviceId: "writer", softwareVersion: "v1", ageMs: 0 },
  ]);
});

test("a history that removes a runner of an unknown version tells nothing", () => {
  const changes = [{ type: "removed", runnerId: "old" }] as const;
  assert.is(
    findDepartedSoftware(changes, () => undefined),
    undefined,
  );
});

test("a runner that started again at another version is told of", () => {
  const changes = [{ type: "put", runner: OLD }] as const;
  const restarted = { ...OLD, startedAtMs: 2, softwareVersion: "v2" };
  const departed = findDepartedSoftware(changes, () => restarted);
  assert.is(departed?.[0]?.softwareVersion, "v1");
});

// Guards against a list that was read again and taken to continue the last one.
test("a list that was read again after a gap begins anew", () => {
  let gapCount = 0;
  const sightings = new SoftwareSightings(() => [OLD], {
    entryLifetimeMs: ENTRY_LIFETIME_MS,
    onGap: () => {
      gapCount += 1;
    },
  });
  sightings.recordRead(readList(9_000));
  sightings.recordHistory(ALL);
  assert.is(sightings.findOnlyListed("writer"), "v1");
  const later = { era: 1, revision: 20 };
  sightings.recordRead(readList(0, later));
  assert.is(gapCount, 2);
  assert.is(sightings.findOnlyListed("writer"), undefined);
  sightings.recordHistory(ALL);
  assert.is(sightings.findOnlyListed("writer"), undefined);
  sightings.recordHistory({ ...ALL, knownUpTo: { era: 2, revision: 30 } });
  assert.is(sightings.findOnlyListed("writer"), undefined);
  sightings.recordHistory({ ...ALL, knownUpTo: later });
  assert.is(sightings.findOnlyListed("writer"), "v1");
});

test("a list that was read again at once, or is followed, goes on", () => {
  const sightings = create([OLD], 9_000);
  sightings.recordHistory(ALL);
  sightings.recordRead({
    ...readList(4_000, { era: 1, revision: 11 }),
    isWholeList: false,
  });
  assert.is(sightings.findOnlyListed("writer"), "v1");
  sightings.recordRead(readList(1_500, { era: 2, revision: 5 }));
  assert.is(sightings.findOnlyListed("writer"), "v1");
});

// Guards against a peer that has not heard of what came before the first list.
test("a peer that is behind the first list here tells nothing of the time before", () => {
  const sightings = create([OLD]);
  const behind = { era: 1, revision: 9 };
  sightings.recordHistory({ ...ALL, knownUpTo: behind });
  assert.is(sightings.findOnlyListed("writer"), undefined);
  sightings.recordHistory({ ...ALL, knownUpTo: undefined });
  assert.is(sightings.findOnlyListed("writer"), undefined);
});

test.run();
