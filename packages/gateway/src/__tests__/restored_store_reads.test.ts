import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { Logger } from "@jujubeladder/logger";
import {
  WatchRunnersRequestSchema,
  WatchRunnersResponseSchema,
} from "@jujubeladder/protocol";
import { sleep } from "@jujubeladder/utils";
import { StoreReaderSelector } from "../decisions/store_reader_selector.js";
import { createViewHandlers } from "../mesh/create_view_handlers.js";
import { PeerStoreReader } from "../mesh/peer_store_reader.js";
import { readViewState } from "../mesh/read_view_state.js";
import { ViewPoller } from "../mesh/view_poller.js";
import type { MetadataStore } from "../model/metadata_store.js";
import type { StorePosition } from "../model/store_position.js";
import type { ActiveConfig } from "../views/active_config.js";
import { ChangeSignal } from "../views/change_signal.js";
import { RunnerDirectory } from "../views/runner_directory.js";
import { RunnerWatchCache } from "../views/runner_watch_cache.js";
import { StoreEraTracker } from "../views/store_era_tracker.js";
import { StoreReadHealth } from "../views/store_read_health.js";
import { syncRunners } from "../views/sync_runners.js";
import { createRunner } from "./create_runner.js";

const LOGGER = new Logger({});
const INSTANCE_COUNT = 76;
/** One in 16 instances. */
const READER_COUNT = 5;
/** At the start readers have no view yet, and fail for 3 s. */
const SETTLE_MS = 4_500;
const OBSERVE_MS = 2_000;
const RESTORES: readonly StorePosition[] = [
  { era: 2, revision: 60 },
  { era: 3, revision: 60 },
  { era: 4, revision: 140 },
];

/** The store that all instances read; counts the calls of each. */
class FakeStore {
  readonly #changed = new ChangeSignal();
  position: StorePosition = { era: 1, revision: 100 };
  runners = [createRunner("old")];
  lists: string[] = [];
  readonly callers = new Set<string>();

  restore(position: StorePosition): void {
    this.position = position;
    this.runners = [createRunner(`of-${position.era}`)];
    this.lists = [];
    this.callers.clear();
    this.#changed.notify();
  }

  /** The client of one instance. */
  connect(instanceId: string): MetadataStore {
    const eras = new StoreEraTracker(LOGGER);
    const client: Partial<MetadataStore> = {
      recordPeerEra: (era, peerId) => {
        eras.recordClaim(era, peerId);
      },
      listRunners: async () => {
        this.callers.add(instanceId);
        this.lists.push(instanceId);
        await sleep(2);
        eras.recordAnswer(this.position.era);
        const { runners, position: asOf } = this;
        return { ok: true, value: { runners, asOf } };
      },
      watchRunners: async ({ asOf, waitMs }) => {
        const lost = { ok: true, value: { type: "history_lost" } } as const;
        if (asOf.era < eras.current) return lost;
        this.callers.add(instanceId);
        const isRestored = () => this.position.era !== asOf.era;
        await this.#changed.waitUntil(isRestored, waitMs);
        eras.recordAnswer(this.position.era);
        if (isRestored()) return lost;
        return { ok: true, value: { type: "unchanged", asOf } };
      },
    };
    return client as MetadataStore;
  }
}

/** Starts instances that share a store, and counts the lists they are sent. */
function startFleet(store: FakeStore, signal: AbortSignal) {
  const ids = Array.from({ length: INSTANCE_COUNT }, (_, n) => `10.0.0.${n}:1`);
  const location = { region: "r1" };
  const sentLists: string[] = [];
  const instances = new Map(
    ids.map((instanceId) => {
      const watchCache = new RunnerWatchCache();
      const dependencies = {
        activeConfig: { version: 1, confirmedAgeMs: 0 } as ActiveConfig,
        configHealth: new StoreReadHealth("configuration", { logger: LOGGER }),
        watchCache,
        runnersHealth: new StoreReadHealth("runners", { logger: LOGGER }),
      };
      const handlers = createViewHandlers(dependencies);
      const directory = new RunnerDirectory(LOGGER);
      return [instanceId, { dependencies, handlers, directory }] as const;
    }),
  );
  const connect = (from: string, to: string, poller: ViewPoller) => {
    const client = {
      watchRunners: async (
        request: MessageInitShape<typeof WatchRunnersRequestSchema>,
      ) => {
        const answer = await instances
          .get(to)
          ?.handlers.watchRunners(
            create(WatchRunnersRequestSchema, request),
            undefined as never,
          );
        if (answer?.isList) sentLists.push(from);
        return create(WatchRunnersResponseSchema, answer);
      },
    };
    return new PeerStoreReader(
      to,
      client as never,
      async () => poller.poll({ host: to, port: 1 }),
      () => undefined,
    );
  };
  for (const [instanceId, { dependencies, directory }] of instances) {
    const selector = new StoreReaderSelector({ instanceId, ...location }, () =>
      ids
        .filter((id) => id !== instanceId)
        .map((id) => ({ instanceId: id, ...location })),
    );
    const poller = new ViewPoller(async ({ host }) => {
      await sleep(1);
      const peer = instances.get(host);
      return peer && readViewState(peer.dependencies);
    });
    void syncRunners({
      store: store.connect(instanceId),
      directory,
      watchCache: dependencies.watchCache,
      readerProvider: {
        find: () => {
          const readerId = selector.pick();
          return readerId === undefined
            ? undefined
            : connect(instanceId, readerId, poller);
        },
        recordOwnFailure: () => {
          selector.recordOwnFailure();
        },
        recordFailure: (reader) => {
          selector.recordFailure(reader.instanceId);
        },
      },
      health: dependencies.runnersHealth,
      signal,
    });
  }
  return { instances, sentLists };
}

test("after a restore only the readers read the store, and each list goes out once", async () => {
  const abort = new AbortController();
  const store = new FakeStore();
  const { instances, sentLists } = startFleet(store, abort.signal);
  try {
    await sleep(SETTLE_MS);
    store.callers.clear();
    await sleep(OBSERVE_MS);
    assert.is(store.callers.size, READER_COUNT, "before the restore");
    for (const asOf of RESTORES) {
      const where = JSON.stringify(asOf);
      sentLists.length = 0;
      store.restore(asOf);
      await sleep(OBSERVE_MS);
      assert.is(store.callers.size, READER_COUNT, where);
      assert.is(store.lists.length, READER_COUNT, where);
      const followers = INSTANCE_COUNT - READER_COUNT;
      assert.is(sentLists.length, followers, where);
      assert.is(new Set(sentLists).size, followers, where);
      for (const { directory, dependencies } of instances.values()) {
        assert.ok(directory.find(`of-${asOf.era}`), where);
        assert.equal(dependencies.watchCache.asOf, asOf);
      }
    }
  } finally {
    abort.abort();
  }
});

test.run();
