import { Quarantine } from "@jujubeladder/coordination";
import { Logger } from "@jujubeladder/logger";
import { sleep } from "@jujubeladder/utils";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { CrashDetector } from "../relay/crash_detector.js";
import { RunnerDirectory } from "../views/runner_directory.js";
import { createRunner } from "./create_runner.js";

const QUARANTINE_THRESHOLD = 3;
/** Longer than the delay before a probe. */
const PROBED_MS = 200;

/** Cuts one request at as many runners as it takes to quarantine it. */
async function cutAtEachRunner(error: string): Promise<Quarantine> {
  const logger = new Logger({});
  const directory = new RunnerDirectory(logger);
  const quarantine = new Quarantine(QUARANTINE_THRESHOLD);
  const detector = new CrashDetector({
    directory,
    quarantine,
    logger,
    openConnection: async () => ({ ok: false, error }),
  });
  for (let n = 0; n < QUARANTINE_THRESHOLD; n += 1) {
    const runner = createRunner(`runner-${n}`);
    directory.put(runner);
    detector.checkForCrash(runner, {
      requestId: `request-${n}`,
      fingerprint: "request",
      sharedPartIds: [],
      writingForMs: undefined,
    });
  }
  await sleep(PROBED_MS);
  return quarantine;
}

test("a request whose runners have closed their ports is quarantined", async () => {
  const quarantine = await cutAtEachRunner("ECONNREFUSED");
  assert.is(quarantine.status("request").type, "quarantined");
});

for (const error of [
  "the connection timed out",
  "ECONNRESET",
  "EHOSTUNREACH",
  "EMFILE",
]) {
  test(`runners out of reach have not crashed (${error})`, async () => {
    const quarantine = await cutAtEachRunner(error);
    assert.is(quarantine.status("request").type, "clear");
  });
}

test.run();
