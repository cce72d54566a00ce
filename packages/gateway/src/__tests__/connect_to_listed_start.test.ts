import type { Result } from "@jujubeladder/types";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { RunnerStart } from "../model/runner_start.js";
import { connectToListedStart } from "../relay/connect_to_listed_start.js";
import type { HttpConnection } from "../transport/http_connection.js";

const SAME: RunnerStart = { type: "told", startedAtMs: 5 };
const LATER: RunnerStart = { type: "told", startedAtMs: 9 };
const NOT_TOLD: RunnerStart = { type: "not_told" };
const SILENT: RunnerStart = { type: "no_response", reason: "timed out" };

/** Connects to a runner that answers its questions one after the other. */
async function connect(
  answers: readonly (RunnerStart & { readonly isClosing?: boolean })[],
  options: { readonly mayBeUnknown?: boolean; readonly startedAtMs?: number },
): Promise<{ result: Result<HttpConnection, string>; openedCount: number }> {
  let openedCount = 0;
  const asked = [...answers];
  const result = await connectToListedStart(
    { startedAtMs: options.startedAtMs ?? 5 },
    {
      connect: async () => {
        openedCount += 1;
        const connection = {
          isOpen: true,
          close() {
            this.isOpen = false;
          },
        };
        return Promise.resolve({
          ok: true,
          value: connection as unknown as HttpConnection,
        });
      },
      control: {
        readStart: async (connection) => {
          const answer = asked.shift() ?? SILENT;
          const isClosing = "isClosing" in answer && answer.isClosing === true;
          if (isClosing || answer.type === "no_response") connection.close();
          return Promise.resolve(answer);
        },
      },
      mayBeUnknown: options.mayBeUnknown ?? false,
    },
  );
  return { result, openedCount };
}

test("the rest of a stream goes to the listed start, on the connection that told", async () => {
  const { result, openedCount } = await connect([SAME], {});
  assert.ok(result.ok && result.value.isOpen);
  assert.is(openedCount, 1);
});

test("it does not go to another start, even if only that may have a copy", async () => {
  for (const mayBeUnknown of [false, true])
    assert.not((await connect([LATER], { mayBeUnknown })).result.ok);
});

// Guards against a stream that is cut as the runner closes a connection.
test("a connection that the runner closes after its answer is opened again", async () => {
  const { result, openedCount } = await connect(
    [{ ...SAME, isClosing: true }],
    {},
  );
  assert.ok(result.ok && result.value.isOpen);
  assert.is(openedCount, 2);
});

test("a runner that does not respond is asked again, and then passed over", async () => {
  const again = await connect([SILENT, SAME], {});
  assert.ok(again.result.ok);
  const silent = await connect([SILENT, SILENT], {});
  assert.not(silent.result.ok);
  const copied = await connect([SILENT, SILENT], { mayBeUnknown: true });
  assert.ok(copied.result.ok && copied.result.value.isOpen);
});

test("a runner that tells no start is taken for the listed one", async () => {
  assert.ok((await connect([NOT_TOLD], {})).result.ok);
  assert.ok((await connect([LATER], { startedAtMs: 0 })).result.ok);
});

test.run();
