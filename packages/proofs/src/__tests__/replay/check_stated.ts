import { request } from "undici";
import type { Fleet } from "../harness/fleet.js";
import type { GroundTruth } from "./ground_truth.js";
import { readStatus } from "./read_status.js";
import type { Recording } from "./recording.js";
import type { StatedOutcome } from "./stated_outcome.js";

const RETRIES_METRIC = /^jujubeladder_retries_total (\d+)$/m;

/** Compares one stated outcome with what was received and done. */
export async function checkStated(
  stated: StatedOutcome,
  recording: Recording,
  options: { readonly truth: GroundTruth; readonly fleet: Fleet },
): Promise<readonly string[]> {
  const { truth, fleet } = options;
  switch (stated.state) {
    case "outcome": {
      const outcome = recording.answers.get(stated.of)?.outcome ?? "unanswered";
      return expectIn(`outcome of ${stated.of}`, outcome, stated.in);
    }
    case "same_answer": {
      const bodies = stated.of.map((n) => recording.answers.get(n)?.body);
      return new Set(bodies).size === 1
        ? []
        : [`answers differ: ${bodies.join(" | ")}`];
    }
    case "runs": {
      const runs = truth.runs.filter((run) => run.body === stated.mark);
      const isWithin = runs.length >= stated.min && runs.length <= stated.max;
      return isWithin ? [] : [`${stated.mark} ran ${runs.length} times`];
    }
    case "whole_stream":
      return checkWholeStream(stated.of, stated.tokens, recording);
    case "stream_end": {
      const stream = recording.streams.get(stated.of);
      const end = stream?.end === "error" ? stream.errorType : stream?.end;
      return expectIn(`end of ${stated.of}`, end ?? "none", stated.in);
    }
    case "revision": {
      const { revision } = await readStatus(fleet, stated.of);
      const wanted = String(stated.is);
      return expectIn(`revision of ${stated.of}`, String(revision), [wanted]);
    }
    case "all_alike": {
      const statuses = await Promise.all(
        fleet.entryNames.map(async (name) => readStatus(fleet, name)),
      );
      const hashes = new Set(statuses.map((status) => status.documentHash));
      return hashes.size === 1 ? [] : [`${hashes.size} documents in force`];
    }
    case "retries_within": {
      const answer = await request(`${fleet.adminUrl(stated.of)}/metrics`);
      const text = await answer.body.text();
      const retries = Number(RETRIES_METRIC.exec(text)?.[1] ?? 0);
      const { saved, firstAttempts, percent } = stated;
      const allowed = saved + (firstAttempts * percent) / 100;
      return retries <= allowed
        ? []
        : [`${retries} retries, ${allowed} allowed`];
    }
    case "not_logged":
      return fleet.child(stated.of).output.includes(stated.text)
        ? [`${stated.of} logged ${stated.text}`]
        : [];
    case "no_start_after": {
      const leftAtMs = recording.leftAtMs.get(stated.runner) ?? Infinity;
      const late = truth.generations.filter(
        (generation) =>
          generation.runnerId === stated.runner &&
          generation.startedAtMs > leftAtMs + stated.boundMs,
      );
      return late.length === 0
        ? []
        : [`${late.length} generations started at leaving ${stated.runner}`];
    }
    case "exit_code": {
      const code = await fleet.child(stated.of).waitForExit();
      return expectIn(`exit code of ${stated.of}`, String(code), [
        String(stated.is),
      ]);
    }
    case "engine_state": {
      const version = truth.engineVersions.get(stated.runner) ?? "none";
      return expectIn(`version of ${stated.runner}`, version, [stated.version]);
    }
    case "no_cut_by_order": {
      const cut = truth.generations.filter((g) => g.isCutByOrder);
      return cut.length === 0 ? [] : [`orders cut ${cut.length} generations`];
    }
    case "weight_store_refused":
      return truth.weightStoreRefused <= stated.max
        ? []
        : [`the weight store refused ${truth.weightStoreRefused} loads`];
    case "runners_crashed":
      return truth.crashedRunners.length <= stated.max
        ? []
        : [`${truth.crashedRunners.length} runners crashed`];
  }
}

function checkWholeStream(
  names: readonly string[],
  tokens: number,
  recording: Recording,
): readonly string[] {
  const streams = names.map((name) => recording.streams.get(name));
  const all = streams.flatMap((stream) => stream?.tokens ?? []);
  const generations = new Set(all.map((token) => token.split(".")[1]));
  const isInOrder = all.every((token, index) => token.startsWith(`w${index}.`));
  const end = streams.at(-1)?.end;
  const label = names.join("+");
  return [
    ...(end === "clean" ? [] : [`${label} ended ${end ?? "never"}`]),
    ...(all.length === tokens && isInOrder
      ? []
      : [`${label} has ${all.length} tokens of ${tokens}, or out of order`]),
    ...(generations.size === 1
      ? []
      : [`${label} comes from ${generations.size} generations`]),
  ];
}

function expectIn(
  what: string,
  value: string,
  allowed: readonly string[],
): readonly string[] {
  return allowed.includes(value)
    ? []
    : [`${what} is ${value}, not ${allowed.join(" or ")}`];
}
