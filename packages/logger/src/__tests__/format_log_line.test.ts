import { test } from "uvu";
import * as assert from "uvu/assert";
import { formatLogLine } from "../format_log_line.js";

test("quotes values with spaces and omits undefined fields", () => {
  const line = formatLogLine({ a: 1, b: "x y", c: undefined, d: 0.12345 });
  assert.is(line, 'a=1 b="x y" d=0.123');
});

test("escapes values so that they cannot inject lines or fields", () => {
  assert.is(formatLogLine({ a: "x\ny=1" }), 'a="x\\ny=1"');
});

test.run();
