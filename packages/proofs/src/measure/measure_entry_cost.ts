import { request } from "undici";
import { monotonicMs } from "@jujubeladder/utils";
import { Fleet } from "../__tests__/harness/fleet.js";
import { build, type Histogram } from "hdr-histogram-js";

const SEQUENTIAL_STREAMS = 40;
const TOKENS_PER_SEQUENTIAL_STREAM = 100;
const CONCURRENT_STREAMS = 200;
const TOKENS_PER_CONCURRENT_STREAM = 300;
const US_PER_MS = 1_000;

/**
 * Measures the latency of streams with and without an instance in between, and
 * the throughput and memory of the instance under concurrent streams.
 */
export async function measureEntryCost(
  print: (line: string) => void,
): Promise<void> {
  const engine = {
    capacityTokens: 1_000_000,
    maxBatch: 1_000,
    baseStepMs: 10,
    streamStepMs: 0,
    prefillMsPerToken: 0,
  };
  const fleet = new Fleet({ entries: 1, engines: [engine] });
  try {
    await fleet.start();
    const targets = [
      { name: "runner", url: fleet.backendUrl("engine-1") },
      { name: "entry", url: fleet.callerUrl("entry-1") },
    ];
    for (const { name, url } of targets) {
      const firstTokens = createHistogram();
      const gaps = createHistogram();
      for (let count = 0; count < SEQUENTIAL_STREAMS; count += 1) {
        await readStream(url, TOKENS_PER_SEQUENTIAL_STREAM, {
          firstTokens,
          gaps,
        });
      }
      print(
        `added_latency target=${name} ${formatPercentiles(firstTokens, gaps)}`,
      );
    }
    const rssBefore = await readRss(fleet);
    const startedAtMs = monotonicMs();
    let rssDuring = 0;
    const entryUrl = fleet.callerUrl("entry-1");
    const streams = Array.from({ length: CONCURRENT_STREAMS }, async () =>
      readStream(entryUrl, TOKENS_PER_CONCURRENT_STREAM),
    );
    const rssSampler = setInterval(() => {
      void readRss(fleet).then((rss) => {
        rssDuring = Math.max(rssDuring, rss);
      });
    }, 200);
    await Promise.all(streams);
    clearInterval(rssSampler);
    const elapsedS = (monotonicMs() - startedAtMs) / 1_000;
    const tokens = CONCURRENT_STREAMS * TOKENS_PER_CONCURRENT_STREAM;
    const rssPerStream = (rssDuring - rssBefore) / CONCURRENT_STREAMS;
    print(
      `relay streams=${CONCURRENT_STREAMS} ` +
        `tokens_per_s=${Math.round(tokens / elapsedS)} ` +
        `rss_bytes_per_stream=${Math.round(rssPerStream)}`,
    );
  } finally {
    await fleet.stop();
  }
}

async function readStream(
  url: string,
  tokens: number,
  histograms?: { readonly firstTokens: Histogram; readonly gaps: Histogram },
): Promise<void> {
  const startedAtMs = monotonicMs();
  const response = await request(`${url}/v1/chat/completions`, {
    method: "POST",
    headers: {
      authorization: "Bearer team-a",
      "content-type": "application/json",
    },
    body: JSON.stringify({
      model: "writer",
      stream: true,
      max_tokens: tokens,
      messages: [{ role: "user", content: `len=${tokens}` }],
    }),
  });
  let lastAtMs: number | undefined;
  for await (const bytes of response.body) {
    if (!String(bytes).includes("content")) continue;
    const nowMs = monotonicMs();
    if (lastAtMs === undefined)
      recordDuration(histograms?.firstTokens, nowMs - startedAtMs);
    else recordDuration(histograms?.gaps, nowMs - lastAtMs);
    lastAtMs = nowMs;
  }
}

async function readRss(fleet: Fleet): Promise<number> {
  const response = await request(`${fleet.adminUrl("entry-1")}/status`);
  const status = (await response.body.json()) as {
    readonly process: { readonly rssBytes: number };
  };
  return status.process.rssBytes;
}

function createHistogram(): Histogram {
  return build({ numberOfSignificantValueDigits: 3, useWebAssembly: false });
}

function recordDuration(
  histogram: Histogram | undefined,
  durationMs: number,
): void {
  histogram?.recordValue(Math.round(durationMs * US_PER_MS));
}

function formatPercentiles(firstTokens: Histogram, gaps: Histogram): string {
  const at = (histogram: Histogram, percent: number) =>
    (histogram.getValueAtPercentile(percent) / US_PER_MS).toFixed(2);
  return (
    `first_token_p50_ms=${at(firstTokens, 50)} first_token_p95_ms=${at(firstTokens, 95)} ` +
    `gap_p50_ms=${at(gaps, 50)} gap_p95_ms=${at(gaps, 95)}`
  );
}
