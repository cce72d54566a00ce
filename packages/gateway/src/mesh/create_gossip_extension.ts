import type { GossipExtension } from "@jujubeladder/coordination";
import type { Logger } from "@jujubeladder/logger";
import type { LoadTracker } from "../decisions/load_tracker.js";
import type { MetadataStore } from "../model/metadata_store.js";
import type { EvacuatedZones } from "../views/evacuated_zones.js";
import type { ActiveConfig } from "../views/active_config.js";
import type { RunnerDirectory } from "../views/runner_directory.js";
import type { RunnerRateLimits } from "../views/runner_rate_limits.js";
import type { SoftwareSightings } from "../views/software_sightings.js";
import { RefusedEntryLog } from "../views/refused_entry_log.js";
import { decodeEvacuations } from "./decode_evacuations.js";
import { decodeRunnerRate } from "./decode_runner_rate.js";
import { decodeSoftware } from "./decode_software.js";
import { encodeEvacuations } from "./encode_evacuations.js";
import { encodeSoftware } from "./encode_software.js";
import { encodeRunnerRate } from "./encode_runner_rate.js";
import type { PeerRoster } from "./peer_roster.js";

/** An older confirmation is of no use to peers and is not sent. */
const MAX_CONFIRMATION_AGE_MS = 10_000;

/** Peers hear of others in the answers that they get themselves. */
const MAX_RUNNER_RATES = 8;

/** No instance places more requests on one runner. */
const MAX_SHARE_REQUESTS = 65_535;
const MAX_UINT32 = 2 ** 32 - 1;

/**
 * Creates the gateway's part of the gossip digests: confirmation of the
 * configuration, known peers, the load placed on each runner, and rate limits.
 */
export function createGossipExtension(dependencies: {
  readonly roster: PeerRoster;
  readonly loadTracker: LoadTracker;
  readonly activeConfig: ActiveConfig;
  readonly evacuatedZones?: EvacuatedZones | undefined;
  readonly rateLimits?: RunnerRateLimits | undefined;
  readonly sightings?: SoftwareSightings | undefined;
  readonly directory: RunnerDirectory;
  readonly store: Pick<MetadataStore, "era" | "recordPeerEra">;
  readonly logger: Logger;
}): GossipExtension {
  const { roster, loadTracker, activeConfig, directory, store } = dependencies;
  const { evacuatedZones, rateLimits, sightings } = dependencies;
  const refusedPeers = new RefusedEntryLog(dependencies.logger, "peer_refused");
  const record = (peer: Parameters<PeerRoster["record"]>[0]): boolean => {
    const isPeer = roster.record(peer);
    if (!isPeer) refusedPeers.record(peer.address, "the address is none");
    return isPeer;
  };
  return {
    describe: () => {
      const ageMs = activeConfig.confirmedAgeMs;
      return {
        ...(ageMs < MAX_CONFIRMATION_AGE_MS
          ? { confirmedAgeMs: Math.ceil(ageMs) }
          : {}),
        ...encodeEvacuations(evacuatedZones?.describe()),
        storeEra: BigInt(store.era),
        knownInstances: roster.peakInstanceCount,
        members: roster
          .sampleRecent()
          .map(({ ageMs: heardAgeMs, ...peer }) => ({
            ...peer,
            heardAgeMs: Math.round(heardAgeMs),
          })),
        runnerShares: [...loadTracker.listOwn()].map(([runnerId, load]) => ({
          runnerId,
          requests: load.requests,
          peakTokens: toUint32(load.peakTokens),
          unreadTokens: toUint32(load.unreadTokens),
        })),
        ...encodeSoftware(sightings),
        runnerRates: (rateLimits?.listLatest(MAX_RUNNER_RATES) ?? []).map(
          encodeRunnerRate,
        ),
      };
    },
    merge: (digest, sentAt) => {
      const { sender, region, availabilityZone } = digest;
      if (!sender) return;
      const address = sender.instanceId;
      if (!record({ address, region, availabilityZone, ageMs: 0 })) return;
      if (digest.storeEra !== undefined) {
        store.recordPeerEra(Number(digest.storeEra), address);
      }
      const evacuations = decodeEvacuations(digest.evacuations);
      if (evacuations) evacuatedZones?.mergePeer(evacuations);
      roster.recordKnownInstances(digest.knownInstances);
      for (const peer of digest.members) {
        record({ ...peer, ageMs: peer.heardAgeMs });
      }
      loadTracker.recordPeer(address, {
        region,
        byRunner: new Map(
          digest.runnerShares
            .filter(({ requests }) => requests <= MAX_SHARE_REQUESTS)
            .map(({ runnerId, ...share }) => [runnerId, share]),
        ),
      });
      const software = decodeSoftware(digest);
      if (software) sightings?.recordHistory(software);
      for (const rate of digest.runnerRates.map(decodeRunnerRate)) {
        if (rate) rateLimits?.mergePeer(rate);
      }
      for (const incarnationId of digest.leavingRunners) {
        directory.markLeaving(incarnationId, "peer");
      }
      // A response describes the peer's state at some time after the call was
      // sent, so the age counts from the sending. For an incoming call no such
      // lower bound is known.
      const { confirmedAgeMs, documentHash } = digest;
      if (sentAt && confirmedAgeMs !== undefined && documentHash) {
        activeConfig.confirmDocument(documentHash, {
          monotonicMs: sentAt.monotonicMs - confirmedAgeMs,
          wallMs: sentAt.wallMs - confirmedAgeMs,
        });
      }
    },
  };
}

// Callers state the tokens of their requests, so that sums may be any number.
function toUint32(value: number): number {
  return Math.min(Math.round(value), MAX_UINT32);
}
