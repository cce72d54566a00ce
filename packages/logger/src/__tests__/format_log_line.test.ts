import { test } from "uvu";
import * as assert from "uvu/assert";
import { formatLogLine } from "../format_log_line.js";

test("quotes what has blanks, and leaves out what is undefined", () => {
  const line = formatLogLine({ a: 1, b: "x y", c: undefined, d: 0.12345 });
  assert.is(line, 'a=1 b="x y" d=0.123');
});

test("keeps a value from starting a line or field of its own", () => {
  assert.is(formatLogLine({ a: "x\ny=1" }), 'a="x\\ny=1"');
});

test.run();
