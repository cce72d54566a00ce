import { Logger } from "@jujubeladder/logger";
import { ConfigView } from "@jujubeladder/configuration";
import { sha256Hex, monotonicMs } from "@jujubeladder/utils";
import { createConfig } from "../__tests__/harness/create_config.js";

const TEAM_COUNTS = [10, 1_000, 25_000];
const REPEATS = 5;

/**
 * Measures a configuration document's size and the cost of serializing and
 * applying it, by number of teams.
 */
export function measureDocumentCost(print: (line: string) => void): void {
  for (const teamCount of TEAM_COUNTS) {
    const teams = Array.from({ length: teamCount }, (_, index) => ({
      teamId: `team-${index}`,
      weight: 1,
      tokenSha256: sha256Hex(String(index)),
    }));
    globalThis.gc?.();
    const heapBefore = process.memoryUsage().heapUsed;
    const view = new ConfigView(new Logger({}));
    let bytes = 0;
    const startedAtMs = monotonicMs();
    for (let revision = 1; revision <= REPEATS; revision += 1) {
      const text = JSON.stringify(createConfig({ revision, teams }));
      bytes = Buffer.byteLength(text);
      view.applyIfNewer(text, "service");
    }
    const applyMs = (monotonicMs() - startedAtMs) / REPEATS;
    globalThis.gc?.();
    const heapBytes = process.memoryUsage().heapUsed - heapBefore;
    print(
      `document teams=${teamCount} bytes=${bytes} ` +
        `take_ms=${applyMs.toFixed(2)} heap_bytes=${heapBytes}`,
    );
  }
}
