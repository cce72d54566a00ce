import { rankByRendezvous } from "@jujubeladder/utils";

interface Member {
  readonly instanceId: string;
  readonly region: string;
}

/**
 * Ranks the instances that can issue the permits of a runner: those of its region,
 * as they are near most of the instances that send to it, or else all. Where the
 * views of the membership agree, all instances rank them alike.
 */
export function rankPermitIssuers(
  runner: { readonly incarnationId: string; readonly region: string },
  members: readonly Member[],
): readonly string[] {
  const near = members.filter(({ region }) => region === runner.region);
  const candidates = near.length > 0 ? near : members;
  return rankByRendezvous(
    runner.incarnationId,
    candidates.map(({ instanceId }) => instanceId),
  );
}
