import type { GenerationTruth, PlainRun } from "@jujubeladder/standins";
import type { Fleet } from "../harness/fleet.js";
import type { GroundTruth } from "./ground_truth.js";

const CRASH_EXIT_CODE = 70;

interface EngineTruth {
  readonly state: { readonly version: string };
  readonly generations: readonly GenerationTruth[];
}

/**
 * Reads the ground truth from the stand-ins. Of those that have exited, it
 * contains only whether they crashed.
 */
export async function readGroundTruth(fleet: Fleet): Promise<GroundTruth> {
  const runs: PlainRun[] = [];
  const generations: (GenerationTruth & { runnerId: string })[] = [];
  const engineVersions = new Map<string, string>();
  const crashedRunners: string[] = [];
  for (const name of fleet.backendNames) {
    const { exitCode } = fleet.child(name);
    if (exitCode === CRASH_EXIT_CODE) crashedRunners.push(name);
    if (exitCode !== undefined) continue;
    if (name.startsWith("plain")) {
      const truth = await fleet.fetchTruth<{ runs: readonly PlainRun[] }>(name);
      runs.push(...truth.runs);
      continue;
    }
    const truth = await fleet.fetchTruth<EngineTruth>(name);
    engineVersions.set(name, truth.state.version);
    for (const generation of truth.generations) {
      generations.push({ ...generation, runnerId: name });
    }
  }
  const platform = await fleet.fetchTruth<{ weightStore: { refused: number } }>(
    "platform",
  );
  const weightStoreRefused = platform.weightStore.refused;
  return {
    runs,
    generations,
    engineVersions,
    crashedRunners,
    weightStoreRefused,
  };
}
