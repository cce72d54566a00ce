import { request } from "undici";
import { sleep } from "@jujubeladder/utils";
import { Fleet } from "../__tests__/harness/fleet.js";

const WINDOW_MS = 10_000;

interface ProcessMetrics {
  readonly cpuMs: number;
  readonly rssBytes: number;
  readonly heapBytes: number;
}

/**
 * Measures, by fleet size, what an idle instance spends on the control plane
 * and how long a configuration change takes to reach every instance when only
 * one of them can read the platform.
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
      const before = await readMeanMetrics(fleet);
      const bytesBefore = fleet.peerBytes;
      await sleep(WINDOW_MS);
      const after = await readMeanMetrics(fleet);
      const bytes = fleet.peerBytes - bytesBefore;
      const cpuShare = (after.cpuMs - before.cpuMs) / WINDOW_MS;
      const propagationMs = await measurePropagationMs(fleet);
      print(
        `fleet instances=${entries} ` +
          `cpu_percent_of_core=${(100 * cpuShare).toFixed(2)} ` +
          `peer_bytes_per_s=${Math.round((bytes * 1_000) / WINDOW_MS / entries)} ` +
          `rss_bytes=${after.rssBytes} heap_bytes=${after.heapBytes} ` +
          `change_in_force_ms=${propagationMs}`,
      );
    } finally {
      await fleet.stop();
    }
  }
}

// Averages over all instances.
async function readMeanMetrics(fleet: Fleet): Promise<ProcessMetrics> {
  const all = await Promise.all(
    fleet.entryNames.map(async (name) => {
      const response = await request(`${fleet.adminUrl(name)}/status`);
      const status = (await response.body.json()) as {
        readonly process: ProcessMetrics;
      };
      return status.process;
    }),
  );
  const mean = (key: keyof ProcessMetrics) =>
    Math.round(
      all.reduce((sum, metrics) => sum + metrics[key], 0) / all.length,
    );
  return {
    cpuMs: mean("cpuMs"),
    rssBytes: mean("rssBytes"),
    heapBytes: mean("heapBytes"),
  };
}

async function measurePropagationMs(fleet: Fleet): Promise<number> {
  const [first, ...others] = fleet.entryNames;
  for (const name of others) {
    await fleet.setPlatform(name, { configMode: "down" });
  }
  const startedAtMs = Date.now();
  await fleet.publish({ revision: 2 }, first === undefined ? [] : [first]);
  for (const name of fleet.entryNames) {
    for (;;) {
      const response = await request(`${fleet.adminUrl(name)}/status`);
      const status = (await response.body.json()) as {
        readonly revision: number;
      };
      if (status.revision >= 2) break;
      await sleep(10);
    }
  }
  return Date.now() - startedAtMs;
}
