import type { ConfigException } from "./config_exception.js";
import type { ObjectiveWeights } from "./objective_weights.js";
import type { RequestSettings } from "./request_settings.js";
import type { RunnerTarget } from "./runner_target.js";
import type { Service } from "./service.js";
import type { Team } from "./team.js";

/** One revision of the configuration that operators publish. */
export interface ConfigDocument {
  readonly revision: number;
  readonly publishedAtMs: number;
  readonly weightStoreLoadsPerMinute: number;
  readonly defaults: RequestSettings;
  readonly objective: ObjectiveWeights;
  readonly exceptions: readonly ConfigException[];
  readonly services: readonly Service[];
  readonly teams: readonly Team[];
  readonly targets: readonly RunnerTarget[];
}
