import {
  LeavingRunners,
  Membership,
  Successions,
  type GossipPace,
  type PeerDirectory,
  type Quarantine,
} from "@jujubeladder/coordination";
import type { Logger } from "@jujubeladder/logger";
import { createId } from "@jujubeladder/utils";
import type { LoadBook } from "../decisions/load_book.js";
import { SMALL_FLEET } from "../decisions/small_fleet.js";
import { toLifeId } from "../model/to_life_id.js";
import type { ConfigInForce } from "../views/config_in_force.js";
import type { RunnerDirectory } from "../views/runner_directory.js";
import { createGossipExtension } from "./create_gossip_extension.js";
import type { PeerRoster } from "./peer_roster.js";

/** Instances swap loads this often; engines report with a similar lag. */
const SMALL_FLEET_PACE: GossipPace = { intervalMs: 500, nearFanout: 2 };
/**
 * A call costs each side one to two milliseconds of processor time. News that
 * can't wait comes by the readers of the store here.
 */
const LARGE_FLEET_PACE: GossipPace = { intervalMs: 1_000, nearFanout: 1 };
/** Nothing succeeds itself here; handovers are not part of the gateway. */
const SUCCESSION_KEPT_MS = 1_000;

/** Wires the gossip of a gateway instance, whose address serves as its id. */
export function createMembership(parts: {
  readonly ownAddress: string;
  readonly settings: {
    readonly availabilityZone: string;
    readonly region: string;
  };
  readonly config: ConfigInForce;
  readonly directory: RunnerDirectory;
  readonly roster: PeerRoster;
  readonly peers: PeerDirectory;
  readonly loads: LoadBook;
  readonly quarantine: Quarantine;
  readonly logger: Logger;
}): Membership {
  const { config, directory, roster, logger } = parts;
  const { availabilityZone, region } = parts.settings;
  const leavingRunners = new LeavingRunners();
  directory.events.on("leaving", (runner) => {
    leavingRunners.note(toLifeId(runner));
  });
  return new Membership(
    {
      identity: { instanceId: parts.ownAddress, incarnation: createId() },
      availabilityZone,
      region,
      leavingRunners,
      quarantine: parts.quarantine,
      successions: new Successions(SUCCESSION_KEPT_MS),
      revision: () => config.version,
      documentHash: () => config.hash,
      offerDocument: (text) => {
        config.offer(text, "peer");
      },
      extension: createGossipExtension(parts),
    },
    {
      directory: parts.peers,
      listInstances: () => roster.listInstances(),
      logger,
      pace: () =>
        roster.mostInstances > SMALL_FLEET
          ? LARGE_FLEET_PACE
          : SMALL_FLEET_PACE,
    },
  );
}
