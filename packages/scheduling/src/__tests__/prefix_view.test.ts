import { test } from "uvu";
import * as assert from "uvu/assert";
import { PrefixView } from "../prefix_view.js";

const stored = (sequence: number, prefixKey: string) =>
  ({ sequence, type: "stored", prefixKey }) as const;
const evicted = (sequence: number, prefixKey: string) =>
  ({ sequence, type: "evicted", prefixKey }) as const;

test("applies events in order and ignores duplicates", () => {
  const view = new PrefixView();
  view.apply([stored(1, "a"), stored(2, "b"), evicted(3, "a")], 3);
  view.apply([stored(1, "a")], 3);
  assert.not(view.has("a"));
  assert.ok(view.has("b"));
});

test("discards older prefixes after a gap in the sequence", () => {
  const view = new PrefixView();
  view.apply([stored(1, "a")], 1);
  view.apply([stored(3, "b")], 3);
  assert.not(view.has("a"));
  assert.ok(view.has("b"));
  view.apply([], 5);
  assert.not(view.has("b"));
});

test("resets when the engine has restarted", () => {
  const view = new PrefixView();
  view.apply([stored(1, "a"), stored(2, "b")], 2);
  view.apply([stored(1, "c")], 1);
  assert.not(view.has("a"));
  assert.ok(view.has("c"));
});

test.run();
