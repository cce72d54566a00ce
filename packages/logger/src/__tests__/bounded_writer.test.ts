import {
  closeSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { BoundedWriter } from "../bounded_writer.js";

const test = suite("bounded writer");
/** Longer than a line is held back, with time for a busy machine. */
const WAIT_MS = 10_000;
const LINE = "x".repeat(1_000);

let folder: string;
let path: string;
let fd: number;

test.before.each(() => {
  folder = mkdtempSync(join(tmpdir(), "jujubeladder-logger-"));
  path = join(folder, "log");
  fd = openSync(path, "a");
});

test.after.each(() => {
  closeSync(fd);
  rmSync(folder, { recursive: true });
});

async function waitForText(isDone: (text: string) => boolean): Promise<string> {
  const endMs = performance.now() + WAIT_MS;
  for (;;) {
    const text = readFileSync(path, "utf8");
    if (isDone(text) || performance.now() > endMs) return text;
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

test("lines are written together, in order, without further calls", async () => {
  const writer = new BoundedWriter(fd);
  writer.write("a");
  await new Promise((resolve) => setTimeout(resolve, 5));
  assert.is(readFileSync(path, "utf8"), "");
  writer.write("b");
  assert.is(await waitForText((text) => text !== ""), "a\nb\n");
});

test("a full batch is written without delay, and then the rest", async () => {
  const writer = new BoundedWriter(fd);
  const lines = Array.from({ length: 40 }, (_, n) => `${n} ${LINE}`);
  for (const line of lines) writer.write(line);
  const text = lines.map((line) => `${line}\n`).join("");
  const written = await waitForText(({ length }) => length === text.length);
  assert.is(written, text);
  assert.is(writer.droppedLines, 0);
});

test("pending lines are written when the process exits", async () => {
  const writer = new BoundedWriter(fd);
  writer.write("a");
  writer.write("b");
  writer.flushSync();
  assert.is(readFileSync(path, "utf8"), "a\nb\n");
  writer.flushSync();
  writer.write("c");
  assert.is(await waitForText((text) => text.includes("c")), "a\nb\nc\n");
});

test("lines beyond the limit are dropped and counted", async () => {
  const writer = new BoundedWriter(fd);
  for (let n = 0; n < 2_001; n += 1) writer.write(String(n));
  assert.is(writer.droppedLines, 1);
  const text = await waitForText((written) => written.includes("\n1999\n"));
  assert.is(text.trim().split("\n").length, 2_000);
});

test.run();
