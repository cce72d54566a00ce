import { request } from "undici";
import { sleep } from "@jujubeladder/utils";
import { Fleet } from "../__tests__/harness/fleet.js";

const WINDOW_MS = 10_000;

interface ProcessFigures {
  readonly cpuMs: number;
  readonly rssBytes: number;
  readonly heapBytes: number;
}

/**
 * Measures what an idle instance spends on control, by fleet size, and how
 * long a change of configuration takes to be in force everywhere when one
 * instance alone can read it.
 */
export async function measureFleetCost(
  fleetSizes: readonly number[],
  print: (line: string) => void,
): Promise<void> {
  for (const entries of fleetSizes) {
    const fleet = new Fleet({ entries });
    try {
      await fleet.start();
      await sleep(WINDOW_MS / 2);
      const before = await readFigures(fleet);
      const bytesBefore = fleet.peerBytes;
      await sleep(WINDOW_MS);
      const after = await readFigures(fleet);
      const bytes = fleet.peerBytes - bytesBefore;
      const cpuShare = (after.cpuMs - before.cpuMs) / WINDOW_MS;
      const spreadMs = await measureSpread(fleet);
      print(
        `fleet instances=${entries} ` +
          `cpu_percent_of_core=${(100 * cpuShare).toFixed(2)} ` +
          `peer_bytes_per_s=${Math.round((bytes * 1_000) / WINDOW_MS / entries)} ` +
          `rss_bytes=${after.rssBytes} heap_bytes=${after.heapBytes} ` +
          `change_in_force_ms=${spreadMs}`,
      );
    } finally {
      await fleet.stop();
    }
  }
}

// Means over the instances.
async function readFigures(fleet: Fleet): Promise<ProcessFigures> {
  const all = await Promise.all(
    fleet.entryNames.map(async (name) => {
      const answer = await request(`${fleet.adminUrl(name)}/status`);
      const status = (await answer.body.json()) as {
        readonly process: ProcessFigures;
      };
      return status.process;
    }),
  );
  const mean = (key: keyof ProcessFigures) =>
    Math.round(all.reduce((sum, one) => sum + one[key], 0) / all.length);
  return {
    cpuMs: mean("cpuMs"),
    rssBytes: mean("rssBytes"),
    heapBytes: mean("heapBytes"),
  };
}

async function measureSpread(fleet: Fleet): Promise<number> {
  const [first, ...others] = fleet.entryNames;
  for (const name of others) {
    await fleet.setPlatform(name, { configMode: "down" });
  }
  const startedAtMs = Date.now();
  await fleet.publish({ revision: 2 }, first === undefined ? [] : [first]);
  for (const name of fleet.entryNames) {
    for (;;) {
      const answer = await request(`${fleet.adminUrl(name)}/status`);
      const status = (await answer.body.json()) as {
        readonly revision: number;
      };
      if (status.revision >= 2) break;
      await sleep(10);
    }
  }
  return Date.now() - startedAtMs;
}
