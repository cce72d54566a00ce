import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { readClocks } from "@jujubeladder/utils";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { EndedProcess } from "../model/ended_process.js";
import type { RunnerChange } from "../model/runner_change.js";
import type { RunnerPresence } from "../model/runner_presence.js";
import type { RunnerStart } from "../model/runner_start.js";
import { ProcessChecker } from "../relay/process_checker.js";
import { createRunner } from "./create_runner.js";

const SAME: RunnerStart = { type: "told", startedAtMs: 5 };
const LATER: RunnerStart = { type: "told", startedAtMs: 9 };
const NOT_TOLD: RunnerStart = { type: "not_told" };

/** Asks about a runner whose port is open, a while after a request was sent. */
async function check(signs: {
  readonly start: RunnerStart;
  readonly presence?: RunnerPresence;
  readonly sentAgoMs?: number;
  readonly changes?: (port: number) => readonly RunnerChange[] | undefined;
}): Promise<EndedProcess> {
  const server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const runner = createRunner("r", { host: "127.0.0.1", port, startedAtMs: 5 });
  const { monotonicMs, wallMs } = readClocks();
  const agoMs = signs.sentAgoMs ?? 5_000;
  const { changes = () => [] } = signs;
  const checker = new ProcessChecker({
    control: { readStart: async () => Promise.resolve(signs.start) },
    directory: { findPresence: () => signs.presence ?? "unknown" },
    unseenChanges: { read: async () => Promise.resolve(changes(port)) },
  });
  const checked = await checker.check(runner, {
    sentAt: { monotonicMs: monotonicMs - agoMs, wallMs: wallMs - agoMs },
    maxWaitMs: 1_000,
  });
  server.close();
  server.closeAllConnections();
  return checked;
}

test("a process that tells its start is alive only with the start that is listed", async () => {
  assert.is(await check({ start: SAME }), "alive");
  assert.is(await check({ start: LATER }), "replaced");
  assert.is(await check({ start: LATER, sentAgoMs: 0 }), "replaced");
});

test("a listed successor replaces a process whatever it tells", async () => {
  for (const start of [SAME, LATER, NOT_TOLD])
    assert.is(await check({ start, presence: "replaced" }), "replaced");
});

test("without its start, the store tells of a successor by id or address", async () => {
  const start = NOT_TOLD;
  assert.is(await check({ start }), "alive");
  const byId = createRunner("r", { startedAtMs: 6 });
  const put = (runner: typeof byId) => [{ type: "put", runner }] as const;
  assert.is(await check({ start, changes: () => put(byId) }), "replaced");
  const changes = (port: number) =>
    put(createRunner("other", { host: "127.0.0.1", port, startedAtMs: 6 }));
  assert.is(await check({ start, changes }), "replaced");
  assert.is(await check({ start, changes: () => undefined }), "not_known");
});

test("no process is back within the time since a request that was just sent", async () => {
  const changes = () => undefined;
  const start = NOT_TOLD;
  assert.is(await check({ start, sentAgoMs: 200, changes }), "alive");
});

test("a process that does not respond is not taken for alive", async () => {
  const silent = { type: "no_response", reason: "timed out" } as const;
  assert.is(await check({ start: silent }), "silent");
});

test.run();
