import type { ConfigDocument } from "@jujubeladder/types";
import type { EngineOptions } from "@jujubeladder/standins";

/** What a trace's fleet is made of. */
export interface FleetOptions {
  readonly entries: number;
  readonly engines?: readonly Partial<EngineOptions>[];
  readonly plains?: number;
  /** Settings of every entry instance, by flag. */
  readonly flags?: Readonly<Record<string, string | number>>;
  /** Overrides of the first configuration document. */
  readonly config?: Partial<ConfigDocument>;
  /** Entries that the trace itself starts later. */
  readonly absent?: readonly string[];
  readonly weightLoadsPerMinute?: number;
}
