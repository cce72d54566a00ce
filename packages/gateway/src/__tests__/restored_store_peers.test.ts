import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { Logger } from "@jujubeladder/logger";
import {
  ViewStateSchema,
  WatchRunnersRequestSchema,
  WatchRunnersResponseSchema,
} from "@jujubeladder/protocol";
import { readClocks } from "@jujubeladder/utils";
import { createViewHandlers } from "../mesh/create_view_handlers.js";
import { PeerStoreReader } from "../mesh/peer_store_reader.js";
import { readViewState } from "../mesh/read_view_state.js";
import type { StorePosition } from "../model/store_position.js";
import type { ActiveConfig } from "../views/active_config.js";
import { RunnerWatchCache } from "../views/runner_watch_cache.js";
import { StoreReadHealth } from "../views/store_read_health.js";
import { createRunner } from "./create_runner.js";

type Request = MessageInitShape<typeof WatchRunnersRequestSchema>;

const LOGGER = new Logger({});
const BEFORE: StorePosition = { era: 1, revision: 100 };
const RESTORED: StorePosition = { era: 2, revision: 60 };
const WAIT_MS = 1;

/** Lists a runner in the cache at each of the positions, one after another. */
function createCache(...positions: readonly StorePosition[]) {
  const watchCache = new RunnerWatchCache();
  for (const asOf of positions) {
    const runners = [createRunner(`of-${asOf.era}`)];
    watchCache.replaceList(runners, { asOf, readAt: readClocks() });
  }
  return watchCache;
}

/**
 * A follower of an instance with the given cache. One of the two may be of a
 * version that knows of no eras; `calls` lists the requests it makes.
 */
function follow(watchCache: RunnerWatchCache, old?: "reader" | "follower") {
  const dependencies = {
    activeConfig: { version: 1, confirmedAgeMs: 0 } as ActiveConfig,
    configHealth: new StoreReadHealth("configuration", { logger: LOGGER }),
    watchCache,
    runnersHealth: new StoreReadHealth("runners", { logger: LOGGER }),
  };
  const handlers = createViewHandlers(dependencies);
  const calls: Request[] = [];
  const watchRunners = async (request: Request) => {
    calls.push(request);
    const received = create(WatchRunnersRequestSchema, request);
    if (old) delete received.asOfEra;
    const answer = await handlers.watchRunners(received, undefined as never);
    const response = create(WatchRunnersResponseSchema, answer);
    if (old) delete response.asOfEra;
    return response;
  };
  const reader = new PeerStoreReader(
    "peer",
    { watchRunners } as never,
    async () => {
      const view = readViewState(dependencies);
      if (old) delete view.runnersEra;
      return Promise.resolve(view);
    },
    () => undefined,
  );
  const watch = async (asOf: StorePosition | undefined) => {
    const result = await reader.watchRunners({ asOf, waitMs: WAIT_MS });
    if (!result.ok) throw new Error(result.error);
    return result.value;
  };
  return { watch, calls };
}

for (const [what, asOf] of [
  ["lower", RESTORED],
  ["the same", { era: 2, revision: 100 }],
  ["higher", { era: 2, revision: 120 }],
] as const) {
  test(`a follower gets the restored list when its revision is ${what}`, async () => {
    const { watch } = follow(createCache(BEFORE, asOf));
    const update = await watch(BEFORE);
    assert.is(update.type, "list");
    assert.equal(update.asOf, asOf);
    const next = await watch(update.asOf);
    assert.is(next.type, "changes");
    assert.equal(next.asOf, asOf);
  });
}

test("an unchanged view costs no call after a restore", async () => {
  const { watch, calls } = follow(createCache(BEFORE, RESTORED));
  assert.equal(await watch(RESTORED).then(({ asOf }) => asOf), RESTORED);
  assert.equal(calls, []);
});

test("a peer that is behind by an era is no reader", async () => {
  const { watch } = follow(createCache(BEFORE));
  await watch(RESTORED).then(
    () => {
      assert.unreachable();
    },
    (error: unknown) => {
      assert.match(String(error), "no current view");
    },
  );
});

for (const old of ["reader", "follower"] as const) {
  test(`an old ${old} gets along with a new instance in any era`, async () => {
    const watchCache = createCache(BEFORE);
    const { watch, calls } = follow(watchCache, old);
    const list = await watch(undefined);
    assert.is(list.type, "list");
    const known = old === "reader" ? BEFORE : list.asOf;
    assert.is((await watch(known)).type, "changes");
    assert.is(calls.length, 1, "the view is unchanged");
    const runner = createRunner("new");
    watchCache.applyChanges([{ type: "put", runner }], {
      asOf: { era: 1, revision: 101 },
      readAt: readClocks(),
    });
    const update = await watch(known);
    if (update.type !== "changes") throw new Error("it got the whole list");
    assert.is(update.changes.length, 1);
    assert.equal(update.asOf, { era: known.era, revision: 101 });
  });
}

/** Watches through a peer that gives this response, and has changed. */
async function watchOdd(
  response: MessageInitShape<typeof WatchRunnersResponseSchema>,
) {
  const reader = new PeerStoreReader(
    "peer",
    {
      watchRunners: async () =>
        Promise.resolve(
          create(WatchRunnersResponseSchema, { ageMs: 0, ...response }),
        ),
    } as never,
    async () => Promise.resolve(create(ViewStateSchema)),
    () => undefined,
  );
  return await reader.watchRunners({ asOf: BEFORE, waitMs: WAIT_MS });
}

test("a peer's changes of another era aren't taken for those of this one", async () => {
  assert.not((await watchOdd({ asOf: 101n, asOfEra: 2n })).ok);
  assert.ok((await watchOdd({ asOf: 101n, asOfEra: 1n })).ok);
});

test("a peer's era beyond the safe range fails the read", async () => {
  for (const asOfEra of [2n ** 53n, 2n ** 64n - 1n]) {
    assert.not((await watchOdd({ asOf: 1n, asOfEra, isList: true })).ok);
  }
});

test.run();
