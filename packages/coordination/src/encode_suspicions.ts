import type { MessageInitShape } from "@bufbuild/protobuf";
import type { SuspicionSchema } from "@jujubeladder/protocol";
import type { ToldSuspicion } from "./told_suspicion.js";

/** Encodes suspicions of requests for a digest. */
export function encodeSuspicions(
  suspicions: readonly ToldSuspicion[],
): MessageInitShape<typeof SuspicionSchema>[] {
  return suspicions.map(({ lostRunners, clearedRunners, ...told }) => ({
    ...told,
    lostRunners: [...lostRunners],
    clearedRunners: [...clearedRunners],
  }));
}
