import type { GenerationTruth, PlainRun } from "@jujubeladder/standins";

/** What the stand-ins actually executed. */
export interface GroundTruth {
  readonly runs: readonly PlainRun[];
  readonly generations: readonly (GenerationTruth & {
    readonly runnerId: string;
  })[];
  readonly engineVersions: ReadonlyMap<string, string>;
  readonly crashedRunners: readonly string[];
  readonly weightStoreRefused: number;
}
