import { test } from "uvu";
import * as assert from "uvu/assert";
import { SealBox } from "../seal_box.js";

const OLD = "an-old-secret-of-ours";
const NEW = "a-new-secret-of-ours";

test("opens what it sealed", () => {
  const box = new SealBox([NEW], "test");
  assert.equal(box.open(box.seal({ a: 1 })), { a: 1 });
});

test("opens what an older key sealed, and seals with the first", () => {
  const before = new SealBox([OLD], "test");
  const during = new SealBox([NEW, OLD], "test");
  assert.equal(during.open(before.seal("x")), "x");
  assert.is(before.open(during.seal("x")), undefined);
});

test("refuses forged, cut and foreign texts", () => {
  const box = new SealBox([NEW], "test");
  const sealed = box.seal("x");
  const flipped = sealed.startsWith("A") ? "B" : "A";
  assert.is(box.open(flipped + sealed.slice(1)), undefined);
  assert.is(box.open(sealed.slice(0, 20)), undefined);
  assert.is(box.open(""), undefined);
  assert.is(new SealBox([NEW], "other").open(sealed), undefined);
});

test.run();
