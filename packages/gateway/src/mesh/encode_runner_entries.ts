import type { MessageInitShape } from "@bufbuild/protobuf";
import type { RunnerEntrySchema } from "@jujubeladder/protocol";
import { monotonicMs } from "@jujubeladder/utils";
import type { GatewayRunner } from "../model/gateway_runner.js";
import type { RunnerListUpdate } from "../model/runner_list_update.js";

type Entry = MessageInitShape<typeof RunnerEntrySchema>;

/** Encodes a list of runners, or changes to it, for a peer. */
export function encodeRunnerEntries(update: RunnerListUpdate): Entry[] {
  switch (update.type) {
    case "list":
      return update.runners.map(encodeRunner);
    case "changes":
      return update.changes.map((change) =>
        change.type === "put"
          ? encodeRunner(change.runner)
          : { runnerId: change.runnerId, isRemoved: true },
      );
  }
}

function encodeRunner(runner: GatewayRunner): Entry {
  const { startedAtMs, warmAtMs, state, ...rest } = runner;
  return {
    ...rest,
    isLeaving: state === "leaving",
    startedAtMs: BigInt(startedAtMs),
    coldLeftMs: Math.max(0, Math.round(warmAtMs - monotonicMs())),
  };
}
