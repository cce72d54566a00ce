import { test } from "uvu";
import * as assert from "uvu/assert";
import { TurnTable } from "../turn_table.js";

const IDS = ["a", "b", "c"];

test("at any moment at most one instance may fill a runner", () => {
  const tables = IDS.map((id) => {
    const table = new TurnTable();
    table.setInstances(id, IDS);
    return table;
  });
  const served = new Set<number>();
  for (let atMs = 0; atMs < 60_000; atMs += 50) {
    const owners = tables.flatMap((table, index) =>
      table.isOwn("runner", atMs) ? [index] : [],
    );
    assert.ok(owners.length <= 1);
    for (const owner of owners) served.add(owner);
  }
  assert.is(served.size, IDS.length);
});

test("an instance alone needs no turn", () => {
  const table = new TurnTable();
  table.setInstances("a", ["a"]);
  assert.ok(table.isOwn("runner", 999));
});

test.run();
