import { test } from "uvu";
import * as assert from "uvu/assert";
import { SealBox } from "../seal_box.js";

const OLD = "an-old-secret-of-ours";
const NEW = "a-new-secret-of-ours";

test("opens a value that it sealed", () => {
  const box = new SealBox([NEW], "test");
  assert.equal(box.open(box.seal({ a: 1 })), { a: 1 });
});

test("opens values of an older key, and seals with the first key", () => {
  const beforeRotation = new SealBox([OLD], "test");
  const duringRotation = new SealBox([NEW, OLD], "test");
  assert.equal(duringRotation.open(beforeRotation.seal("x")), "x");
  assert.is(beforeRotation.open(duringRotation.seal("x")), undefined);
});

test("refuses forged and truncated texts, and those of another purpose", () => {
  const box = new SealBox([NEW], "test");
  const sealed = box.seal("x");
  const flipped = sealed.startsWith("A") ? "B" : "A";
  assert.is(box.open(flipped + sealed.slice(1)), undefined);
  assert.is(box.open(sealed.slice(0, 20)), undefined);
  assert.is(box.open(""), undefined);
  assert.is(new SealBox([NEW], "other").open(sealed), undefined);
});

test.run();
