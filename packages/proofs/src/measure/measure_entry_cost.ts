import { request } from "undici";
import { monotonicMs } from "@jujubeladder/utils";
import { Fleet } from "../__tests__/harness/fleet.js";
import { build, type Histogram } from "hdr-histogram-js";

const SINGLE_STREAMS = 40;
const SINGLE_TOKENS = 100;
const OPEN_STREAMS = 200;
const OPEN_TOKENS = 300;
const US_PER_MS = 1_000;

/** Measures what an instance adds to a stream, and what it can relay. */
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
      const first = newHistogram();
      const gaps = newHistogram();
      for (let count = 0; count < SINGLE_STREAMS; count += 1) {
        await readStream(url, SINGLE_TOKENS, { first, gaps });
      }
      print(`added_latency target=${name} ${format(first, gaps)}`);
    }
    const rssBefore = await readRss(fleet);
    const startedAtMs = monotonicMs();
    let rssDuring = 0;
    const entryUrl = fleet.callerUrl("entry-1");
    const streams = Array.from({ length: OPEN_STREAMS }, async () =>
      readStream(entryUrl, OPEN_TOKENS),
    );
    const watch = setInterval(() => {
      void readRss(fleet).then((rss) => {
        rssDuring = Math.max(rssDuring, rss);
      });
    }, 200);
    await Promise.all(streams);
    clearInterval(watch);
    const elapsedS = (monotonicMs() - startedAtMs) / 1_000;
    const tokens = OPEN_STREAMS * OPEN_TOKENS;
    const perStream = (rssDuring - rssBefore) / OPEN_STREAMS;
    print(
      `relay streams=${OPEN_STREAMS} ` +
        `tokens_per_s=${Math.round(tokens / elapsedS)} ` +
        `rss_bytes_per_stream=${Math.round(perStream)}`,
    );
  } finally {
    await fleet.stop();
  }
}

async function readStream(
  url: string,
  tokens: number,
  figures?: { readonly first: Histogram; readonly gaps: Histogram },
): Promise<void> {
  const startedAtMs = monotonicMs();
  const answer = await request(`${url}/v1/chat/completions`, {
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
  for await (const bytes of answer.body) {
    if (!String(bytes).includes("content")) continue;
    const nowMs = monotonicMs();
    if (lastAtMs === undefined) record(figures?.first, nowMs - startedAtMs);
    else record(figures?.gaps, nowMs - lastAtMs);
    lastAtMs = nowMs;
  }
}

async function readRss(fleet: Fleet): Promise<number> {
  const answer = await request(`${fleet.adminUrl("entry-1")}/status`);
  const status = (await answer.body.json()) as {
    readonly process: { readonly rssBytes: number };
  };
  return status.process.rssBytes;
}

function newHistogram(): Histogram {
  return build({ numberOfSignificantValueDigits: 3, useWebAssembly: false });
}

function record(histogram: Histogram | undefined, durationMs: number): void {
  histogram?.recordValue(Math.round(durationMs * US_PER_MS));
}

function format(first: Histogram, gaps: Histogram): string {
  const at = (histogram: Histogram, percent: number) =>
    (histogram.getValueAtPercentile(percent) / US_PER_MS).toFixed(2);
  return (
    `first_token_p50_ms=${at(first, 50)} first_token_p95_ms=${at(first, 95)} ` +
    `gap_p50_ms=${at(gaps, 50)} gap_p95_ms=${at(gaps, 95)}`
  );
}
