import type { ConfigDocument } from "@jujubeladder/types";
import type { EngineOptions } from "@jujubeladder/standins";

/** Composition and settings of a trace's fleet. */
export interface FleetOptions {
  readonly entries: number;
  readonly engines?: readonly Partial<EngineOptions>[];
  readonly plains?: number;
  /** Command-line flags of every entry, by name without dashes. */
  readonly flags?: Readonly<Record<string, string | number>>;
  /** Overrides in the initial configuration document. */
  readonly config?: Partial<ConfigDocument>;
  /** Entries that are not started with the fleet; the trace may start them. */
  readonly absent?: readonly string[];
  readonly weightLoadsPerMinute?: number;
}
