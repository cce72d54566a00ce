import type { GroundTruth } from "./ground_truth.js";
import type { RecordedStream } from "./recorded_stream.js";
import type { Recording } from "./recording.js";

const TOKEN = /^w(\d+)\.(.+)$/;

/** Checks the invariants that hold in every trace. */
export function checkInvariants(
  recording: Recording,
  truth: GroundTruth,
): readonly string[] {
  return [
    ...recording.violations,
    ...checkSubmissionRuns(recording, truth),
    ...[...recording.streams.values()].flatMap(checkTokenOrder),
  ];
}

function checkSubmissionRuns(
  recording: Recording,
  truth: GroundTruth,
): readonly string[] {
  const violations: string[] = [];
  const outcomesByMark = new Map<string, string[]>();
  for (const response of recording.responses.values()) {
    if (!response.mark.startsWith("submission")) continue;
    const outcomes = outcomesByMark.get(response.mark) ?? [];
    outcomes.push(response.outcome);
    outcomesByMark.set(response.mark, outcomes);
  }
  for (const [mark, outcomes] of outcomesByMark) {
    const count = truth.runs.filter((run) => run.body === mark).length;
    if (count > 1) violations.push(`${mark} ran ${count} times`);
    if (count > 0 && outcomes.includes("not_run")) {
      violations.push(`${mark} was reported as not run, but ran`);
    }
    if (count === 0 && outcomes.includes("completed")) {
      violations.push(`${mark} was reported as completed, but did not run`);
    }
  }
  return violations;
}

// Tokens carry their offset and generation, so a stream alone shows reordered,
// repeated or spliced output.
function checkTokenOrder(stream: RecordedStream): readonly string[] {
  const matches = stream.tokens.map((token) => TOKEN.exec(token));
  const generations = new Set(matches.map((match) => match?.[2]));
  const offsets = matches.map((match) => Number(match?.[1]));
  const isInOrder = offsets.every(
    (offset, index) => offset === (offsets[0] ?? 0) + index,
  );
  return [
    ...(generations.size > 1
      ? [`${stream.name} is spliced from ${generations.size} generations`]
      : []),
    ...(isInOrder ? [] : [`${stream.name} has tokens out of order`]),
  ];
}
