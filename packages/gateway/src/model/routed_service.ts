import type { ColdStart } from "./cold_start.js";
import type { EngineFeatures } from "./engine_features.js";

/** A service that routes refer to. */
export interface RoutedService {
  readonly serviceId: string;
  /** Maximum number of connections that each runner accepts in total. */
  readonly maxConnections: number;
  /** Absent for plain services. */
  readonly engine?: EngineFeatures | undefined;
  /** Absent if cold runners take any number of requests. */
  readonly coldStart?: ColdStart | undefined;
}
