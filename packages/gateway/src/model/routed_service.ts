import type { EngineFeatures } from "./engine_features.js";

/** A service that routes lead to. */
export interface RoutedService {
  readonly serviceId: string;
  /** Most connections that one of its runners accepts from all callers. */
  readonly maxConnections: number;
  /** Absent for plain services. */
  readonly engine?: EngineFeatures | undefined;
}
