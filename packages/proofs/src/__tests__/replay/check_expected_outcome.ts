import { request } from "undici";
import type { Fleet } from "../harness/fleet.js";
import type { GroundTruth } from "./ground_truth.js";
import { readStatus } from "./read_status.js";
import type { Recording } from "./recording.js";
import type { ExpectedOutcome } from "./expected_outcome.js";

const RETRIES_METRIC = /^jujubeladder_retries_total (\d+)$/m;

/** Compares one expected outcome with the recording and the ground truth. */
export async function checkExpectedOutcome(
  expected: ExpectedOutcome,
  recording: Recording,
  options: { readonly truth: GroundTruth; readonly fleet: Fleet },
): Promise<readonly string[]> {
  const { truth, fleet } = options;
  switch (expected.state) {
    case "outcome": {
      const outcome =
        recording.responses.get(expected.of)?.outcome ?? "unanswered";
      return expectOneOf(`outcome of ${expected.of}`, outcome, expected.in);
    }
    case "same_answer": {
      const bodies = expected.of.map((n) => recording.responses.get(n)?.body);
      return new Set(bodies).size === 1
        ? []
        : [`responses differ: ${bodies.join(" | ")}`];
    }
    case "runs": {
      const runs = truth.runs.filter((run) => run.body === expected.mark);
      const isWithin =
        runs.length >= expected.min && runs.length <= expected.max;
      return isWithin ? [] : [`${expected.mark} ran ${runs.length} times`];
    }
    case "whole_stream":
      return checkWholeStream(expected.of, expected.tokens, recording);
    case "stream_end": {
      const stream = recording.streams.get(expected.of);
      const end = stream?.end === "error" ? stream.errorType : stream?.end;
      return expectOneOf(`end of ${expected.of}`, end ?? "none", expected.in);
    }
    case "revision": {
      const { revision } = await readStatus(fleet, expected.of);
      const expectedRevision = String(expected.is);
      return expectOneOf(`revision of ${expected.of}`, String(revision), [
        expectedRevision,
      ]);
    }
    case "all_alike": {
      const statuses = await Promise.all(
        fleet.entryNames.map(async (name) => readStatus(fleet, name)),
      );
      const hashes = new Set(statuses.map((status) => status.documentHash));
      return hashes.size === 1
        ? []
        : [`${hashes.size} different documents in force`];
    }
    case "retries_within": {
      const response = await request(`${fleet.adminUrl(expected.of)}/metrics`);
      const text = await response.body.text();
      const retries = Number(RETRIES_METRIC.exec(text)?.[1] ?? 0);
      const { saved, firstAttempts, percent } = expected;
      const allowed = saved + (firstAttempts * percent) / 100;
      return retries <= allowed
        ? []
        : [`${retries} retries, ${allowed} allowed`];
    }
    case "not_logged":
      return fleet.child(expected.of).output.includes(expected.text)
        ? [`${expected.of} logged ${expected.text}`]
        : [];
    case "no_start_after": {
      const leavingAtMs =
        recording.leavingAtMs.get(expected.runner) ?? Infinity;
      const late = truth.generations.filter(
        (generation) =>
          generation.runnerId === expected.runner &&
          generation.startedAtMs > leavingAtMs + expected.boundMs,
      );
      return late.length === 0
        ? []
        : [
            `${late.length} generations started late on leaving ${expected.runner}`,
          ];
    }
    case "exit_code": {
      const code = await fleet.child(expected.of).waitForExit();
      return expectOneOf(`exit code of ${expected.of}`, String(code), [
        String(expected.is),
      ]);
    }
    case "engine_state": {
      const version = truth.engineVersions.get(expected.runner) ?? "none";
      return expectOneOf(`version of ${expected.runner}`, version, [
        expected.version,
      ]);
    }
    case "no_cut_by_order": {
      const cut = truth.generations.filter((g) => g.isCutByOrder);
      return cut.length === 0 ? [] : [`orders cut ${cut.length} generations`];
    }
    case "weight_store_refused":
      return truth.weightStoreRefused <= expected.max
        ? []
        : [`the weight store refused ${truth.weightStoreRefused} loads`];
    case "runners_crashed":
      return truth.crashedRunners.length <= expected.max
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
      : [
          `${label} has ${all.length} of ${tokens} tokens, or tokens out of order`,
        ]),
    ...(generations.size === 1
      ? []
      : [`${label} comes from ${generations.size} generations`]),
  ];
}

function expectOneOf(
  subject: string,
  value: string,
  allowed: readonly string[],
): readonly string[] {
  return allowed.includes(value)
    ? []
    : [`${subject} is ${value}, not ${allowed.join(" or ")}`];
}
