import {
  toBinary,
  type DescMessage,
  type MessageShape,
} from "@bufbuild/protobuf";
import {
  DepartedSoftwareSchema,
  MemberSchema,
  PartSuspicionSchema,
  RunnerRateSchema,
  RunnerLossSchema,
  SuspicionSchema,
  type Digest,
} from "@jujubeladder/protocol";

/**
 * Least numbers of entries to keep, in the order of the attempts. Of the
 * suspicions, only those with several losses count.
 */
const FLOORS = [
  { suspicions: Infinity, members: 8, partSuspicions: 8, runnerRates: 4 },
  { suspicions: 4, members: 4, partSuspicions: 2, runnerRates: 1 },
  { suspicions: 0, members: 4, partSuspicions: 2, runnerRates: 0 },
] as const;
/** Suspicions with a single loss that are kept at first, the newest. */
const MIN_SINGLE_LOSSES = 2;

/**
 * Makes a digest smaller by at least `excessBytes`: leaves out suspicions of
 * whole requests that rest on a single loss, but for the newest, and members,
 * both at random so that each is in some digests, the oldest rate limits, then the
 * parts and the other suspicions that decide least. Returns undefined if that is
 * not enough.
 */
export function fitDigest(
  digest: Digest,
  excessBytes: number,
): Digest | undefined {
  const fitted: Digest = {
    ...digest,
    members: rotate(digest.members),
    suspicions: orderSuspicions(digest.suspicions),
  };
  const decisiveCount = countDecisive(digest.suspicions);
  let leftBytes = excessBytes;
  for (const floor of FLOORS) {
    const minSuspicions =
      floor.suspicions > decisiveCount
        ? decisiveCount + MIN_SINGLE_LOSSES
        : floor.suspicions;
    while (leftBytes > 0 && fitted.suspicions.length > minSuspicions) {
      leftBytes -= sizeOf(SuspicionSchema, fitted.suspicions.at(-1));
      fitted.suspicions = fitted.suspicions.slice(0, -1);
    }
    while (leftBytes > 0 && fitted.members.length > floor.members) {
      leftBytes -= sizeOf(MemberSchema, fitted.members.at(-1));
      fitted.members = fitted.members.slice(0, -1);
    }
    while (leftBytes > 0 && fitted.runnerRates.length > floor.runnerRates) {
      leftBytes -= sizeOf(RunnerRateSchema, fitted.runnerRates.at(-1));
      fitted.runnerRates = fitted.runnerRates.slice(0, -1);
    }
    while (
      leftBytes > 0 &&
      fitted.partSuspicions.length > floor.partSuspicions
    ) {
      leftBytes -= dropLastPart(fitted);
    }
  }
  if (leftBytes > 0) leftBytes -= dropSoftware(fitted);
  return leftBytes > 0 ? undefined : fitted;
}

/** Without the departed versions, it must not tell since when all are known. */
function dropSoftware(digest: Digest): number {
  const bytes = digest.departedSoftware.reduce(
    (sum, software) => sum + sizeOf(DepartedSoftwareSchema, software),
    0,
  );
  digest.departedSoftware = [];
  delete digest.softwareKnownMs;
  delete digest.softwareEra;
  delete digest.softwareAsOf;
  return bytes;
}

function countDecisive(suspicions: Digest["suspicions"]): number {
  return suspicions.filter(
    ({ lostRunners, clearedRunners }) =>
      lostRunners.length + clearedRunners.length > 1,
  ).length;
}

/** Those that decide most first; single losses after the newest by chance. */
function orderSuspicions(
  suspicions: Digest["suspicions"],
): Digest["suspicions"] {
  const keptCount = countDecisive(suspicions) + 1;
  return [
    ...suspicions.slice(0, keptCount),
    ...rotate(suspicions.slice(keptCount)),
  ];
}

/** Drops a part and the losses that no other part refers to. */
function dropLastPart(digest: Digest): number {
  let bytes = sizeOf(PartSuspicionSchema, digest.partSuspicions.at(-1));
  digest.partSuspicions = digest.partSuspicions.slice(0, -1);
  // Losses are in order of their first use, so that unused ones are at the end.
  const usedCount =
    1 + Math.max(-1, ...digest.partSuspicions.flatMap((p) => p.lossIndexes));
  for (const loss of digest.runnerLosses.slice(usedCount)) {
    bytes += sizeOf(RunnerLossSchema, loss);
  }
  digest.runnerLosses = digest.runnerLosses.slice(0, usedCount);
  return bytes;
}

/** Size within the digest, with the least that its tag and length may take. */
function sizeOf<Schema extends DescMessage>(
  schema: Schema,
  entry: MessageShape<Schema> | undefined,
): number {
  return entry ? 2 + toBinary(schema, entry).length : 0;
}

function rotate<Entry>(entries: readonly Entry[]): Entry[] {
  const first = Math.floor(Math.random() * entries.length);
  return [...entries.slice(first), ...entries.slice(0, first)];
}
