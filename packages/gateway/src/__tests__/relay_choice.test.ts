import { test } from "uvu";
import * as assert from "uvu/assert";
import { RelayChoice } from "../decisions/relay_choice.js";

const FLEET = Array.from({ length: 60 }, (_, n) => ({
  instanceId: `10.0.0.${n}:1`,
  region: n < 40 ? "r1" : "r2",
}));

function createChoices(fleet: typeof FLEET): readonly RelayChoice[] {
  return fleet.map(
    (own) => new RelayChoice(own, () => fleet.filter((peer) => peer !== own)),
  );
}

function countReaders(choices: readonly RelayChoice[]): number {
  return choices.filter((choice) => choice.pick() === undefined).length;
}

test("a few instances of each region read, and all others ask these", () => {
  const choices = createChoices(FLEET);
  // Three for 40 instances and two for 20.
  assert.is(countReaders(choices), 5);
  const readers = new Map(
    FLEET.filter((_, n) => choices[n]?.pick() === undefined).map((reader) => [
      reader.instanceId,
      reader.region,
    ]),
  );
  FLEET.forEach((own, n) => {
    const picked = choices[n]?.pick();
    if (picked !== undefined) assert.is(readers.get(picked), own.region);
  });
});

test("an instance that knows nobody reads by itself", () => {
  const [own] = FLEET;
  assert.ok(own);
  if (own) assert.is(new RelayChoice(own, () => []).pick(), undefined);
});

test("when a reader fails, another takes its place for all who saw it", () => {
  const choices = createChoices(FLEET.slice(0, 10));
  assert.is(countReaders(choices), 1);
  const gone = choices.map((choice) => choice.pick()).find(Boolean);
  assert.ok(gone !== undefined);
  if (gone === undefined) return;
  for (const choice of choices) choice.noteFailure(gone);
  const others = choices.filter((_, n) => FLEET[n]?.instanceId !== gone);
  assert.is(countReaders(others), 1);
  const picks = new Set(others.map((choice) => choice.pick()));
  assert.not(picks.has(gone));
  assert.is(picks.size, 2, "one reads, the rest ask it");
});

test("a reader that can't read asks its peers, and itself when all fail", () => {
  const fleet = FLEET.slice(0, 3);
  const choices = createChoices(fleet);
  const index = choices.findIndex((choice) => choice.pick() === undefined);
  const reader = choices[index];
  assert.ok(reader);
  if (!reader) return;
  reader.noteOwnFailure();
  const first = reader.pick();
  assert.ok(first !== undefined);
  if (first !== undefined) reader.noteFailure(first);
  const second = reader.pick();
  assert.ok(second !== undefined && second !== first);
  if (second !== undefined) reader.noteFailure(second);
  assert.is(reader.pick(), undefined);
});

test.run();
