import type { GroundTruth } from "./ground_truth.js";
import type { RecordedStream } from "./recorded_stream.js";
import type { Recording } from "./recording.js";

const TOKEN = /^w(\d+)\.(.+)$/;

/** What holds in every trace, whatever else it states. */
export function checkInvariants(
  recording: Recording,
  truth: GroundTruth,
): readonly string[] {
  return [
    ...recording.violations,
    ...checkRuns(recording, truth),
    ...[...recording.streams.values()].flatMap(checkOrder),
  ];
}

function checkRuns(
  recording: Recording,
  truth: GroundTruth,
): readonly string[] {
  const violations: string[] = [];
  const marks = new Map<string, string[]>();
  for (const answer of recording.answers.values()) {
    if (!answer.mark.startsWith("submission")) continue;
    const outcomes = marks.get(answer.mark) ?? [];
    outcomes.push(answer.outcome);
    marks.set(answer.mark, outcomes);
  }
  for (const [mark, outcomes] of marks) {
    const count = truth.runs.filter((run) => run.body === mark).length;
    if (count > 1) violations.push(`${mark} ran ${count} times`);
    if (count > 0 && outcomes.includes("not_run")) {
      violations.push(`${mark} was said not to have run, and ran`);
    }
    if (count === 0 && outcomes.includes("completed")) {
      violations.push(`${mark} was said to be completed, and did not run`);
    }
  }
  return violations;
}

// Tokens carry their offset and generation, so that order, repeats and
// splices show in the answer itself.
function checkOrder(stream: RecordedStream): readonly string[] {
  const parts = stream.tokens.map((token) => TOKEN.exec(token));
  const generations = new Set(parts.map((part) => part?.[2]));
  const offsets = parts.map((part) => Number(part?.[1]));
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
