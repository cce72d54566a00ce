import type { GossipExtension } from "@jujubeladder/coordination";
import type { LoadBook } from "../decisions/load_book.js";
import type { ConfigInForce } from "../views/config_in_force.js";
import type { RunnerDirectory } from "../views/runner_directory.js";
import type { PeerRoster } from "./peer_roster.js";

/** Word that is older proves nothing to a peer and is not told. */
const CONFIRMATION_TOLD_MS = 10_000;

/** What instances of the gateway tell each other beside the common news. */
export function createGossipExtension(parts: {
  readonly roster: PeerRoster;
  readonly loads: LoadBook;
  readonly config: ConfigInForce;
  readonly directory: RunnerDirectory;
}): GossipExtension {
  const { roster, loads, config, directory } = parts;
  return {
    describe: () => {
      const ageMs = config.confirmedAgeMs;
      return {
        ...(ageMs < CONFIRMATION_TOLD_MS
          ? { confirmedAgeMs: Math.ceil(ageMs) }
          : {}),
        knownInstances: roster.mostInstances,
        members: roster
          .sampleFresh()
          .map(({ ageMs: heardAgeMs, ...member }) => ({
            ...member,
            heardAgeMs: Math.round(heardAgeMs),
          })),
        runnerShares: [...loads.listOwn()].map(([runnerId, load]) => ({
          runnerId,
          requests: load.requests,
          peakTokens: Math.round(load.peakTokens),
          unreadTokens: load.unreadTokens,
        })),
      };
    },
    merge: (digest, sentAt) => {
      const { sender, region, availabilityZone } = digest;
      if (!sender) return;
      const address = sender.instanceId;
      roster.note({ address, region, availabilityZone, ageMs: 0 });
      roster.noteKnownInstances(digest.knownInstances);
      for (const member of digest.members) {
        roster.note({ ...member, ageMs: member.heardAgeMs });
      }
      loads.notePeer(address, {
        region,
        byRunner: new Map(
          digest.runnerShares.map(({ runnerId, ...share }) => [
            runnerId,
            share,
          ]),
        ),
      });
      for (const lifeId of digest.leavingRunners) {
        directory.noteLeaving(lifeId, "peer");
      }
      // An answer shows the state at some moment after the call was sent, so
      // the age counts from there. A call that came in proves no moment.
      const { confirmedAgeMs } = digest;
      const isSame = Number(digest.revision) === config.version;
      if (sentAt && confirmedAgeMs !== undefined && isSame) {
        config.confirm({
          monotonicMs: sentAt.monotonicMs - confirmedAgeMs,
          wallMs: sentAt.wallMs - confirmedAgeMs,
        });
      }
    },
  };
}
