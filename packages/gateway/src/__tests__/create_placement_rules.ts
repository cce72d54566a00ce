import { Logger } from "@jujubeladder/logger";
import { Metrics } from "@jujubeladder/metrics";
import { ColdRunnerLimiter } from "../decisions/cold_runner_limiter.js";
import type { ColdLimit } from "../model/cold_limit.js";
import { PlacementRules } from "../relay/placement_rules.js";
import { ColdRunners } from "../views/cold_runners.js";
import { EvacuatedZones } from "../views/evacuated_zones.js";

/** Creates placement rules with the views that they read, for tests. */
export function createPlacementRules(
  options: {
    readonly coldLimit?: ColdLimit;
    readonly countInstances?: () => number | undefined;
    readonly random?: () => number;
  } = {},
) {
  const evacuatedZones = new EvacuatedZones(new Logger({}));
  const coldRunners = new ColdRunners();
  const rules = new PlacementRules({
    evacuatedZones,
    coldRunners,
    coldLimiter: new ColdRunnerLimiter(
      options.countInstances ?? (() => 1),
      options.random,
    ),
    coldLimit: options.coldLimit,
    metrics: new Metrics(),
  });
  return { rules, evacuatedZones, coldRunners };
}
