// A runner leaves, and a run on it is to move to another runner. Its answer is
// lost on the way: the connection is reset while the run goes on. For a second,
// the runner has more connections than it accepts and resets further ones.
import { once } from "node:events";
import { createServer } from "node:http";
import { connect } from "node:net";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  answerHead,
  Client,
  createConfig,
  Gateway,
  hasTrouble,
  HOST,
  runCase,
  sleep,
  Store,
  waitUntil,
} from "../standins.mjs";

const FOLDER = dirname(fileURLToPath(import.meta.url));
const STABLE_MS = 4_500;
const EVENT_INTERVAL_MS = 30;
/** Output tokens that an event holds. */
const STRIDE = 4;
const LONG_TOKENS = 932;
const SHORT_TOKENS = 12;
/** With the long one, 20 requests run there; one of their answers is lost. */
const SHORT_COUNT = 19;
const SHORT_INTERVAL_MS = 50;
const MAX_CONNS = 64;
/** "`max_conns` connections [...], or fewer while its queue is long". */
const MAX_CONNS_LONG_QUEUE = 32;
const OTHERS_CONNS = 48;
/** "It continues serving for `drain_ms` [...] and a little longer". */
const LEAVES_MS = 4_000;
const FULL_AFTER_NOTICE_MS = 1_200;
const LOST_AFTER_MS = 300;
const FULL_MS = 1_000;
/** TWICE: the runner before still works on it this much later. */
const MAX_OVERLAP_MS = 400;
const ID = "x-jujubeladder-request-id";

/** An engine whose runs go on by themselves and can move. */
class Engine {
  runs = [];
  connectionCount = 0;
  maxConns = MAX_CONNS;
  leavesAtMs = undefined;

  constructor(runnerId, record) {
    this.runnerId = runnerId;
    this.record = record;
    this.server = createServer((request, response) => {
      void this.handle(request, response);
    });
    this.server.prependListener("connection", (socket) => {
      socket.on("error", () => undefined);
      if (this.connectionCount < this.maxConns) {
        this.connectionCount += 1;
        socket.once("close", () => {
          this.connectionCount -= 1;
        });
        return;
      }
      this.record.write(
        `${runnerId} accepts no more connections and resets one`,
      );
      socket.resetAndDestroy();
    });
  }

  async start() {
    this.server.listen(0, HOST);
    await once(this.server, "listening");
    this.address = `${HOST}:${this.server.address().port}`;
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  entry(state) {
    return {
      service: "llm",
      address: this.address,
      zone: "zone-a",
      version: "v1",
      slots: 24,
      state,
      cold_left_ms: 0,
      sequence: 1,
      born: 1_700_000_000_000,
    };
  }

  async handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const { url, headers, socket } = request;
    if (url === "/-/report") {
      const leaves_ms =
        this.leavesAtMs && Math.max(0, this.leavesAtMs - performance.now());
      const state = this.leavesAtMs ? "draining" : "ready";
      answer(response, 200, { state, leaves_ms, busy: false, runs: [] });
    } else if (url === "/-/kv-move") {
      this.move(JSON.parse(Buffer.concat(chunks).toString()), response);
    } else if (url.startsWith("/-/")) answer(response, 200, {});
    else void this.run(headers, socket);
  }

  move({ id, target, last }, response) {
    const run = this.runs.find((known) => known.id === id && known.isWorking);
    this.record.write(
      `${this.runnerId} is asked to move ${id} to ${target}, last ${last}: ` +
        (run ? `event ${run.made}` : "no such run"),
    );
    if (!run) {
      answer(response, 404, {});
      return;
    }
    if (last) {
      run.isWorking = false;
      run.socket.destroy();
    }
    answer(response, 200, { handle: `copy-${run.made}`, created: run.made });
  }

  async run(headers, socket) {
    const id = headers[ID];
    const first = Number(headers["last-event-id"] ?? 0);
    const startedAtMs = performance.now();
    const tokens = Number(headers["x-jujubeladder-token-usage"].split(",")[1]);
    const eventCount = Math.ceil(tokens / STRIDE);
    const run = { id, socket, made: first, isWorking: true, startedAtMs };
    this.runs.push(run);
    this.record.write(
      `${this.runnerId} begins to work on ${id} after event ${first}, ` +
        `Kv-From ${headers["kv-from"] ?? "none"}`,
    );
    const lines = ["Content-Type: text/event-stream"];
    lines.push("Transfer-Encoding: chunked");
    socket.write(answerHead(id, lines));
    while (run.isWorking && run.made < eventCount) {
      run.made += 1;
      run.workedAtMs = performance.now();
      const event = `id: ${run.made}\ndata: ${"x".repeat(330)}\n\n`;
      if (!socket.destroyed)
        socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
      // "Most runners drop a request when its connection closes": but a lost
      // answer is one that the runner doesn't know to be lost.
      await sleep(EVENT_INTERVAL_MS);
      if (socket.destroyed && !run.isLost) run.isWorking = false;
    }
    const hasExited = this.hasExited && run.made < eventCount;
    run.isWorking = false;
    if (!socket.destroyed && run.made === eventCount) socket.write("0\r\n\r\n");
    this.record.write(
      `${this.runnerId} no longer works on ${id}, after event ${run.made}` +
        (hasExited ? ", as it has exited" : ""),
    );
  }

  exit() {
    this.hasExited = true;
    for (const run of this.runs) run.isWorking = false;
    this.stop();
  }

  /** Other machines connect, and the queue is long for a time. */
  async fill(ms) {
    const sockets = [];
    const [, port] = this.address.split(":");
    for (let n = 0; n < OTHERS_CONNS; n += 1)
      sockets.push(connect(Number(port), HOST).on("error", () => undefined));
    await waitUntil(
      "others have connected",
      () => this.connectionCount >= OTHERS_CONNS,
    );
    this.maxConns = MAX_CONNS_LONG_QUEUE;
    this.record.write(
      `${this.runnerId} has ${this.connectionCount} connections; its queue is ` +
        `long, and it accepts ${this.maxConns}`,
    );
    await sleep(ms);
    this.maxConns = MAX_CONNS;
    this.record.write(`${this.runnerId} accepts ${this.maxConns} connections`);
    for (const socket of sockets) socket.destroy();
  }

  /** The answer of a run is lost: its connection is reset, and it goes on. */
  loseAnswer(id) {
    const run = this.runs.find((known) => known.id === id && known.isWorking);
    run.isLost = true;
    run.socket.resetAndDestroy();
    this.record.write(
      `the answer of ${this.runnerId} to ${id} is lost (reset) after event ` +
        `${run.made}; the run goes on`,
    );
  }
}

function answer(response, status, body) {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}

await runCase(FOLDER, async (record, keep) => {
  const store = keep(new Store());
  await store.start();
  const [source, target] = ["i-llm-1", "i-llm-2"].map((id) =>
    keep(new Engine(id, record)),
  );
  for (const engine of [source, target]) await engine.start();
  store.put("op/config", createConfig());
  store.put("servers/i-llm-1", source.entry("ready"));
  const gateway = keep(new Gateway(record));
  await gateway.start(store.port);
  await sleep(STABLE_MS);

  const ask = (requestId, tokens) => {
    const client = new Client(gateway.port);
    client.send("/narrative/a", requestId, {
      deadlineMs: 39_000,
      headers: [
        "X-Jujubeladder-Model: m",
        `X-Jujubeladder-Token-Usage: 1460,${tokens}`,
        "X-Jujubeladder-Prompt-Prefix: 5c1e07a2:800,91bd3f06:660",
      ],
    });
    return client;
  };
  const client = ask("stream", LONG_TOKENS);
  await waitUntil("the run", () => source.runs.length > 0);
  const others = [];
  for (let n = 0; n < SHORT_COUNT; n += 1) {
    others.push(ask(`short-${n}`, SHORT_TOKENS));
    await sleep(SHORT_INTERVAL_MS);
  }
  await waitUntil("the short streams", () =>
    others.every(({ body }) => body.endsWith("0\r\n\r\n")),
  );
  store.put("servers/i-llm-2", target.entry("ready"));
  await sleep(200);
  source.leavesAtMs = performance.now() + LEAVES_MS;
  store.put("servers/i-llm-1", source.entry("draining"));
  record.write(`i-llm-1 reports draining and leaves in ${LEAVES_MS} ms`);
  const exit = sleep(LEAVES_MS).then(() => {
    source.exit();
  });

  await sleep(FULL_AFTER_NOTICE_MS);
  const full = source.fill(FULL_MS);
  await sleep(LOST_AFTER_MS);
  if (hasTrouble) source.loseAnswer("stream");
  await full;
  await exit;
  await waitUntil(
    "the stream has ended",
    () => client.closedAtMs !== undefined || client.body.endsWith("0\r\n\r\n"),
    30_000,
  );
  await sleep(500);
  const ids = [...client.body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => id);
  record.write(
    `the client: status ${client.status}, ${ids.length} events, whole ` +
      `${client.body.endsWith("0\r\n\r\n")}`,
  );
  const next = target.runs.find(({ id }) => id === "stream");
  if (!next) {
    record.write("the request did not go on at i-llm-2");
    return false;
  }
  const overlapMs = source.runs[0].workedAtMs - next.startedAtMs;
  record.write(
    `i-llm-1 still worked on the request ${overlapMs.toFixed(0)} ms after ` +
      "i-llm-2 had begun to",
  );
  return overlapMs > MAX_OVERLAP_MS;
});
