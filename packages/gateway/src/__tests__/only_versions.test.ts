import { readClocks, sleep } from "@jujubeladder/utils";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { MetadataStore } from "../model/metadata_store.js";
import type { RunnerChange } from "../model/runner_change.js";
import { OnlyVersions } from "../views/only_versions.js";
import { SoftwareSightings } from "../views/software_sightings.js";
import { UnseenRunnerChanges } from "../views/unseen_runner_changes.js";
import { createRunner } from "./create_runner.js";

const OLD = createRunner("old", { softwareVersion: "v1" });
const NEW = createRunner("new", { softwareVersion: "v2" });
const OTHER = createRunner("other", {
  serviceId: "app",
  softwareVersion: "v9",
});

type Read = Awaited<
  ReturnType<NonNullable<MetadataStore["readRunnerChanges"]>>
>;

const UNCHANGED: Read = {
  ok: true,
  value: { type: "unchanged", asOf: { era: 1, revision: 7 } },
};

function changed(...value: readonly RunnerChange[]): Read {
  const asOf = { era: 1, revision: 8 };
  return { ok: true, value: { type: "changed", value, asOf } };
}

/** A store whose reads the test answers one by one. */
function createStore() {
  const answers: ((read: Read) => void)[] = [];
  const readRunnerChanges = async () =>
    await new Promise<Read>((resolve) => {
      answers.push(resolve);
    });
  return { answers, store: { readRunnerChanges } as unknown as MetadataStore };
}

function create(store: MetadataStore, intervalMs = 0) {
  const sightings = new SoftwareSightings(() => [OLD, OTHER], {
    entryLifetimeMs: 0,
  });
  const asOf = { era: 1, revision: 7 };
  sightings.recordRead({ asOf, readAt: readClocks(), isWholeList: true });
  sightings.recordHistory({
    knownForMs: 60_000,
    knownUpTo: asOf,
    departed: [],
  });
  const unseen = new UnseenRunnerChanges(store, { asOf }, () => intervalMs);
  return new OnlyVersions(sightings, unseen);
}

test("the listed version is the only one if nothing has changed since", async () => {
  const { answers, store } = createStore();
  const found = create(store).find("writer");
  await sleep(5);
  answers[0]?.(UNCHANGED);
  assert.equal(await found, { type: "one", softwareVersion: "v1" });
});

test("a version that joined since the list was read counts", async () => {
  for (const changes of [
    [{ type: "put", runner: NEW }],
    [
      { type: "put", runner: NEW },
      { type: "removed", runnerId: "new" },
    ],
  ] as const) {
    const { answers, store } = createStore();
    const versions = create(store);
    const found = [versions.find("writer"), versions.find("app")] as const;
    await sleep(5);
    answers[0]?.(changed(...changes));
    assert.equal(await found[0], { type: "several" });
    assert.equal(await found[1], { type: "one", softwareVersion: "v9" });
    assert.equal(await versions.find("writer"), { type: "several" });
  }
});

test("a version is not the only one while the store does not answer", async () => {
  for (const read of [
    { ok: false, error: "the call timed out" },
    { ok: true, value: { type: "history_lost" } },
  ] as const) {
    const { answers, store } = createStore();
    const versions = create(store);
    const found = versions.find("writer");
    await sleep(5);
    answers[0]?.(read);
    assert.equal(await found, { type: "not_confirmed" });
  }
});

test("after a failure nobody waits for the store", async () => {
  const { answers, store } = createStore();
  const versions = create(store);
  const first = versions.find("writer");
  await sleep(5);
  answers[0]?.({ ok: false, error: "the call timed out" });
  await first;
  assert.equal(await versions.find("writer"), { type: "not_confirmed" });
  assert.is(answers.length, 1);
});

// Guards against a read that was under way before the stream began.
test("a read that was sent before the question does not answer it", async () => {
  const { answers, store } = createStore();
  const versions = create(store);
  const early = versions.find("writer");
  await sleep(5);
  const late = versions.find("writer");
  const later = versions.find("writer");
  await sleep(5);
  assert.is(answers.length, 1);
  answers[0]?.(UNCHANGED);
  assert.is((await early).type, "one");
  await sleep(5);
  assert.is(answers.length, 2);
  answers[1]?.(changed({ type: "put", runner: NEW }));
  assert.is((await late).type, "several");
  assert.is((await later).type, "several");
});

test("a crowd of questions is answered by few reads", async () => {
  let count = 0;
  const store = {
    readRunnerChanges: async () => {
      count += 1;
      await sleep(2);
      return UNCHANGED;
    },
  } as unknown as MetadataStore;
  const versions = create(store, 40);
  const found: Promise<unknown>[] = [];
  for (let n = 0; n < 200; n += 1) {
    found.push(versions.find("writer"));
    await sleep(1);
  }
  await Promise.all(found);
  assert.ok(count <= 9, `${count} reads`);
});

test.run();
