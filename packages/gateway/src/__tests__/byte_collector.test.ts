import { ByteBudget } from "@jujubeladder/utils";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ByteCollector } from "../transport/byte_collector.js";

const CHUNK = Buffer.alloc(65_536, "x");
const MB = 1_048_576;

test("collects up to its limit", () => {
  const collector = new ByteCollector(10, new ByteBudget(MB));
  assert.is(collector.append(Buffer.from("01234")), undefined);
  assert.is(collector.append(Buffer.from("56789")), undefined);
  assert.is(collector.append(Buffer.from("x")), "the answer is too long");
  assert.is(collector.bytes.toString(), "0123456789");
});

test("many collectors stay within the shared memory", () => {
  const memory = new ByteBudget(4 * MB);
  const collectors = Array.from(
    { length: 50 },
    () => new ByteCollector(8 * MB, memory),
  );
  for (const collector of collectors) {
    while (collector.append(CHUNK) === undefined);
  }
  assert.ok(memory.usedBytes <= 4 * MB);
  for (const collector of collectors) collector.clear();
  assert.is(memory.usedBytes, 0);
});

test("small responses need no shared memory", () => {
  const memory = new ByteBudget(0);
  const collector = new ByteCollector(8 * MB, memory);
  assert.is(collector.append(CHUNK), undefined);
  assert.is(collector.append(CHUNK), "answers under way take too much memory");
  assert.is(collector.length, CHUNK.length);
});

test.run();
