import type { PortContact } from "@jujubeladder/utils";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { judgeConnectionEnd } from "../decisions/judge_connection_end.js";

const CONTACTS: readonly PortContact[] = ["accepted", "refused", "silent"];

test("an answer that its connection ends is whole only by a live runner that was not told to stop", () => {
  for (const contact of CONTACTS) {
    for (const mayHaveStopped of [false, true]) {
      const reason = judgeConnectionEnd({ mayHaveStopped, contact });
      const isWhole = contact === "accepted" && !mayHaveStopped;
      assert.is(reason === undefined, isWhole, `${contact} ${mayHaveStopped}`);
    }
  }
});

test.run();
