import { test } from "uvu";
import * as assert from "uvu/assert";
import type { LogFields } from "@jujubeladder/logger";
import { RefusedEntryLog } from "../views/refused_entry_log.js";

function createLog() {
  const lines: { readonly event: string; readonly fields: LogFields }[] = [];
  const warn = (event: string, fields: LogFields = {}) => {
    lines.push({ event, fields });
  };
  const log = new RefusedEntryLog({ warn }, "runner_entry_refused");
  return { log, lines };
}

test("an odd entry that is read again and again has one line", () => {
  const { log, lines } = createLog();
  for (let n = 0; n < 100; n += 1) {
    log.record("odd", "port is out of range");
    log.record("odd-2", "port is out of range");
  }
  assert.equal(lines[0], {
    event: "runner_entry_refused",
    fields: { key: "odd", reason: "port is out of range", unlogged: 0 },
  });
  assert.is(lines.length, 2);
});

test("many odd entries don't flood the log", () => {
  const { log, lines } = createLog();
  for (let n = 0; n < 1_000; n += 1) {
    log.record(`${n}${"x".repeat(n)}`, `reason ${n}`);
  }
  assert.is(lines.length, 20);
  assert.ok(lines.every(({ fields }) => String(fields["key"]).length <= 200));
});

test.run();
