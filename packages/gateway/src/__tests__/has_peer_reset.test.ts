import { test } from "uvu";
import * as assert from "uvu/assert";
import { hasPeerReset } from "../transport/has_peer_reset.js";

test("only a reset shows that the other end closed, a time-out does not", () => {
  const expected = new Map([
    ["ECONNRESET", true],
    ["EPIPE", true],
    ["ETIMEDOUT", false],
    ["EHOSTUNREACH", false],
    ["HPE_INVALID_CONSTANT", false],
  ]);
  for (const [code, isReset] of expected) {
    const error = Object.assign(new Error(code), { code, syscall: "read" });
    assert.is(hasPeerReset(error), isReset, code);
  }
  assert.not(hasPeerReset(new Error("cancelled")));
});

test.run();
