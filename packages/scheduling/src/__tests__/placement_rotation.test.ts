import { test } from "uvu";
import * as assert from "uvu/assert";
import { PlacementRotation } from "../placement_rotation.js";

const IDS = ["a", "b", "c"];

test("at most one instance has the turn for a runner at any time", () => {
  const rotations = IDS.map((id) => {
    const rotation = new PlacementRotation();
    rotation.setInstances(id, IDS);
    return rotation;
  });
  const served = new Set<number>();
  for (let atMs = 0; atMs < 60_000; atMs += 50) {
    const owners = rotations.flatMap((rotation, index) =>
      rotation.hasTurn("runner", atMs) ? [index] : [],
    );
    assert.ok(owners.length <= 1);
    for (const owner of owners) served.add(owner);
  }
  assert.is(served.size, IDS.length);
});

test("a single instance always has the turn", () => {
  const rotation = new PlacementRotation();
  rotation.setInstances("a", ["a"]);
  assert.ok(rotation.hasTurn("runner", 999));
});

test.run();
