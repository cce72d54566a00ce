import {
  toBinary,
  type DescMessage,
  type MessageShape,
} from "@bufbuild/protobuf";
import {
  MemberSchema,
  PartSuspicionSchema,
  RunnerLossSchema,
  SuspicionSchema,
  type Digest,
} from "@jujubeladder/protocol";

/** Least numbers of entries to keep, in the order of the attempts. */
const FLOORS = [
  { suspicions: 2, members: 8, partSuspicions: 8 },
  { suspicions: 0, members: 4, partSuspicions: 2 },
] as const;

/**
 * Makes a digest smaller by at least `excessBytes`: leaves out suspicions of
 * whole requests, but for the newest, and members, both at random so that each
 * is in some digests, and the least urgent parts. Returns undefined if that is
 * not enough.
 */
export function fitDigest(
  digest: Digest,
  excessBytes: number,
): Digest | undefined {
  const fitted: Digest = {
    ...digest,
    members: rotate(digest.members),
    suspicions: [
      ...rotate(digest.suspicions.slice(0, -1)),
      ...digest.suspicions.slice(-1),
    ],
  };
  let leftBytes = excessBytes;
  for (const floor of FLOORS) {
    while (leftBytes > 0 && fitted.suspicions.length > floor.suspicions) {
      leftBytes -= sizeOf(SuspicionSchema, fitted.suspicions[0]);
      fitted.suspicions = fitted.suspicions.slice(1);
    }
    while (leftBytes > 0 && fitted.members.length > floor.members) {
      leftBytes -= sizeOf(MemberSchema, fitted.members.at(-1));
      fitted.members = fitted.members.slice(0, -1);
    }
    while (
      leftBytes > 0 &&
      fitted.partSuspicions.length > floor.partSuspicions
    ) {
      leftBytes -= dropLastPart(fitted);
    }
  }
  return leftBytes > 0 ? undefined : fitted;
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
