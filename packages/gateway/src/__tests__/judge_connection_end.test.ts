import { test } from "uvu";
import * as assert from "uvu/assert";
import { judgeConnectionEnd } from "../decisions/judge_connection_end.js";
import type { EndedProcess } from "../model/ended_process.js";

const PROCESSES: readonly EndedProcess[] = [
  "alive",
  "gone",
  "replaced",
  "silent",
  "not_known",
];

test("an answer that its connection ends is whole only by a live process that was not told to stop", () => {
  for (const process of PROCESSES) {
    for (const mayHaveStopped of [false, true]) {
      const reason = judgeConnectionEnd({ mayHaveStopped, process });
      const isWhole = process === "alive" && !mayHaveStopped;
      assert.is(reason === undefined, isWhole, `${process} ${mayHaveStopped}`);
    }
  }
});

test.run();
