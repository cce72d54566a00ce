import {
  LeavingRunners,
  Membership,
  Successions,
  type GossipPace,
  type PartEvidence,
  type PeerDatagrams,
  type PeerDirectory,
  type Quarantine,
} from "@jujubeladder/coordination";
import type { Logger } from "@jujubeladder/logger";
import { createId } from "@jujubeladder/utils";
import type { LoadTracker } from "../decisions/load_tracker.js";
import { SMALL_FLEET_MAX_INSTANCES } from "../decisions/small_fleet_max_instances.js";
import type { MetadataStore } from "../model/metadata_store.js";
import type { EvacuatedZones } from "../views/evacuated_zones.js";
import type { RunnerRateLimits } from "../views/runner_rate_limits.js";
import type { SoftwareSightings } from "../views/software_sightings.js";
import type { ActiveConfig } from "../views/active_config.js";
import type { RunnerDirectory } from "../views/runner_directory.js";
import { createGossipExtension } from "./create_gossip_extension.js";
import type { PeerRoster } from "./peer_roster.js";

/** Similar to the lag with which engines report their load. */
const SMALL_FLEET_PACE: GossipPace = { intervalMs: 500, nearFanout: 2 };
/**
 * A call costs each side one to two milliseconds of CPU time. In large fleets
 * urgent updates arrive through the instances that read the store.
 */
const LARGE_FLEET_PACE: GossipPace = { intervalMs: 1_000, nearFanout: 1 };
/** Short, as the gateway has no handoffs and so records no successions. */
const SUCCESSION_TTL_MS = 1_000;

/** Creates the gossip membership; an instance's address serves as its id. */
export function createMembership(dependencies: {
  readonly ownAddress: string;
  readonly settings: {
    readonly availabilityZone: string;
    readonly region: string;
  };
  readonly activeConfig: ActiveConfig;
  readonly evacuatedZones?: EvacuatedZones;
  readonly rateLimits?: RunnerRateLimits;
  readonly sightings?: SoftwareSightings;
  readonly directory: RunnerDirectory;
  readonly roster: PeerRoster;
  readonly peers: PeerDirectory;
  readonly peerDatagrams: PeerDatagrams;
  readonly loadTracker: LoadTracker;
  readonly store: Pick<MetadataStore, "era" | "recordPeerEra">;
  readonly quarantine: Quarantine;
  readonly partEvidence?: PartEvidence;
  readonly logger: Logger;
}): Membership {
  const { activeConfig, directory, roster, partEvidence, logger } =
    dependencies;
  const { availabilityZone, region } = dependencies.settings;
  const leavingRunners = new LeavingRunners();
  // A mark that is gossiped is final. Absences are not: each instance sees them
  // in its own view of the store, and their withdrawal, too.
  directory.events.on("stated", (incarnationId) => {
    leavingRunners.add(incarnationId);
  });
  return new Membership(
    {
      identity: {
        instanceId: dependencies.ownAddress,
        incarnation: createId(),
      },
      availabilityZone,
      region,
      leavingRunners,
      quarantine: dependencies.quarantine,
      ...(partEvidence ? { partEvidence } : {}),
      successions: new Successions(SUCCESSION_TTL_MS),
      revision: () => activeConfig.version,
      documentHash: () => activeConfig.hash,
      offerDocument: (text) => {
        activeConfig.applyIfNewer(text, "peer");
      },
      extension: createGossipExtension(dependencies),
    },
    {
      directory: dependencies.peers,
      datagrams: dependencies.peerDatagrams,
      listInstances: () => roster.listInstances(),
      logger,
      pace: () =>
        roster.peakInstanceCount > SMALL_FLEET_MAX_INSTANCES
          ? LARGE_FLEET_PACE
          : SMALL_FLEET_PACE,
    },
  );
}
