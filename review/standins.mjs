// Stand-ins of the platform's store, runners and clients for the cases of this
// review, and the start of the project's own program. Node.js alone.
import { spawn } from "node:child_process";
import { once } from "node:events";
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { createServer as createHttpServer } from "node:http";
import { connect, createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

const ROOT = dirname(dirname(fileURLToPath(import.meta.url)));
export const HOST = "127.0.0.1";
const ID = "x-jujubeladder-request-id";
const SIGNATURE = "x-jujubeladder-response-signature";
const START_WAIT_MS = 20_000;
/** `run.sh` makes 1 of it: Node.js itself ends with 1 after an error. */
const CODE_BROKEN = 10;
const CODE_NOT_RUN = 2;

export const hasTrouble = process.env.TROUBLE !== "0";

export async function sleep(ms) {
  await new Promise((resolve) => setTimeout(resolve, ms));
}

export async function waitUntil(what, condition, maxMs = START_WAIT_MS) {
  const endMs = performance.now() + maxMs;
  while (!(await condition())) {
    if (performance.now() > endMs) throw new Error(`not in time: ${what}`);
    await sleep(20);
  }
}

export async function reservePorts(count) {
  const servers = [];
  for (let n = 0; n < count; n += 1) {
    const server = createServer().listen(0, HOST);
    await once(server, "listening");
    servers.push(server);
  }
  const ports = servers.map((server) => server.address().port);
  for (const server of servers) server.close();
  return ports;
}

/** Writes the case's `record.txt`, with the seconds since the start. */
export class Record {
  _path;
  _startMs = performance.now();

  constructor(folder) {
    this._path = join(folder, "record.txt");
    writeFileSync(this._path, `trouble: ${hasTrouble ? "yes" : "no"}\n`);
  }

  write(text) {
    const seconds = ((performance.now() - this._startMs) / 1_000).toFixed(3);
    appendFileSync(this._path, `${seconds.padStart(8)} s  ${text}\n`);
  }
}

/** The platform's store: linearizable reads and watches of one revision. */
export class Store {
  _items = new Map();
  _events = [];
  _revision = 1;
  _waiting = new Set();
  _server;
  port = 0;

  async start() {
    this._server = createHttpServer((request, response) => {
      this._handle(new URL(request.url, "http://store"), response);
    });
    this._server.listen(0, HOST);
    await once(this._server, "listening");
    this.port = this._server.address().port;
  }

  stop() {
    this._server?.closeAllConnections();
    this._server?.close();
  }

  put(key, value) {
    this._revision += 1;
    const revision = this._revision;
    const item = {
      key,
      value: Buffer.from(JSON.stringify(value)).toString("base64"),
      revision,
      created: this._items.get(key)?.created ?? revision,
      lease: 0,
    };
    this._items.set(key, item);
    this._events.push(item);
    for (const answer of [...this._waiting]) answer();
  }

  _handle(url, response) {
    const query = url.searchParams;
    const prefix = query.get("prefix") ?? "";
    if (url.pathname === "/-/kv-key") {
      const item = this._items.get(query.get("key"));
      const as_of = this._revision;
      send(response, item ? 200 : 404, { ...item, as_of });
    } else if (url.pathname === "/-/kv-range") {
      const items = [...this._items.values()]
        .filter(({ key }) => key.startsWith(prefix))
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      send(response, 200, { items, more_pages: false, as_of: this._revision });
    } else if (url.pathname === "/-/kv-watch") {
      this._watch(prefix, query, response);
    } else send(response, 404, {});
  }

  _watch(prefix, query, response) {
    const after = Number(query.get("after"));
    const find = () =>
      this._events.filter(
        ({ key, revision }) => key.startsWith(prefix) && revision > after,
      );
    const answer = (isDue = false) => {
      const events = find();
      if (events.length === 0 && !isDue) return;
      clearTimeout(timer);
      this._waiting.delete(answer);
      send(response, 200, { events, as_of: this._revision });
    };
    const timer = setTimeout(answer, Number(query.get("wait_ms")), true);
    this._waiting.add(answer);
    answer();
  }
}

function send(response, status, body) {
  if (response.destroyed) return;
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}

/**
 * A runner. `onRun` answers a request that begins to run; it gets the socket and
 * what the runner was sent, and may write the bytes of the answer itself.
 */
export class Runner {
  runnerId;
  _service;
  _onRun;
  _record;
  _server;
  _port = 0;
  runs = [];

  constructor(runnerId, { service, onRun, record }) {
    this.runnerId = runnerId;
    this._service = service;
    this._onRun = onRun;
    this._record = record;
  }

  async start() {
    this._server = createHttpServer((request, response) => {
      void this._handle(request, response);
    });
    this._server.keepAliveTimeout = 60_000;
    this._server.listen(0, HOST);
    await once(this._server, "listening");
    this._port = this._server.address().port;
  }

  stop() {
    this._server?.closeAllConnections();
    this._server?.close();
  }

  get entry() {
    return {
      service: this._service,
      address: `${HOST}:${this._port}`,
      zone: "zone-a",
      version: "v1",
      slots: 24,
      state: "ready",
      cold_left_ms: 0,
      sequence: 1,
      born: 1_700_000_000_000,
    };
  }

  async _handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const { headers, url, method, socket } = request;
    if (url.startsWith("/-/")) {
      send(response, 404, {});
      return;
    }
    const requestId = headers[ID] ?? "";
    const target = headers["x-jujubeladder-target-instance"];
    if (target !== undefined && target !== this.runnerId) {
      response.writeHead(421, { [ID]: requestId }).end();
      return;
    }
    const run = { requestId, headers, url, method, isEnded: false };
    this.runs.push(run);
    this._record.write(`runner ${this.runnerId} runs ${requestId} ${url}`);
    socket.once("close", () => {
      if (run.isEnded) return;
      run.isEnded = true;
      this._record.write(
        `runner ${this.runnerId}: the connection of ${requestId} is closed`,
      );
    });
    await this._onRun({ run, response, socket });
  }
}

/** The head of a runner's answer with success. */
export function answerHead(requestId, lines) {
  return [
    "HTTP/1.1 200 OK",
    `${ID}: ${requestId}`,
    `${SIGNATURE}: 3e1b.07.5a2.600.0.c9f2a4d1`,
    ...lines,
    "",
    "",
  ].join("\r\n");
}

/** A whole answer with a length, on a kept connection. */
export function sendWhole(response, run, text) {
  run.isEnded = true;
  if (response.destroyed) return;
  response.writeHead(200, {
    [ID]: run.requestId,
    [SIGNATURE]: "3e1b.07.5a2.600.0.c9f2a4d1",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

/** One connection of a client, which reads the bytes of the answers itself. */
export class Client {
  _socket;
  received = "";
  hasEnded = false;
  hasReset = false;
  closedAtMs = undefined;

  constructor(port) {
    // Half-open, so that the state of the connection can be asked for at its end.
    this._socket = connect({ port, host: HOST, allowHalfOpen: true });
    this._socket.on("data", (bytes) => {
      this.received += bytes.toString("latin1");
    });
    this._socket.on("end", () => {
      this.hasEnded = true;
      // Node.js may report a reset that follows on bytes as an end; a connection
      // that was reset has no other end any more.
      if (this._socket.remoteAddress === undefined) this.hasReset = true;
      this._socket.end();
    });
    this._socket.on("error", () => {
      this.hasReset = true;
    });
    this._socket.on("close", () => {
      this.closedAtMs = performance.now();
    });
  }

  send(path, requestId, { deadlineMs, body = "", headers = [] }) {
    this._socket.write(
      [
        `POST ${path} HTTP/1.1`,
        "Host: site.example",
        `X-Jujubeladder-Request-Id: ${requestId}`,
        `X-Jujubeladder-Deadline-Ms: ${deadlineMs}`,
        `X-Jujubeladder-Key: key-a`,
        ...headers,
        `Content-Length: ${Buffer.byteLength(body)}`,
        "",
        body,
      ].join("\r\n"),
    );
  }

  /** Stops reading, as a client on a busy machine does. */
  pause() {
    this._socket.pause();
  }

  resume() {
    this._socket.resume();
  }

  /** Closes the connection, as a client that gives up does. */
  leave() {
    this._socket.destroy();
  }

  get head() {
    const end = this.received.indexOf("\r\n\r\n");
    return end === -1 ? "" : this.received.slice(0, end);
  }

  get status() {
    return Number(/^HTTP\/1\.1 (\d{3})/.exec(this.received)?.[1] ?? 0);
  }

  get body() {
    const end = this.received.indexOf("\r\n\r\n");
    return end === -1 ? "" : this.received.slice(end + 4);
  }
}

const DEFAULT_ROUTE = {
  host: "site.example",
  timeout_ms: 39_000,
  target_latency_ms: 1_800,
  priority: 1,
  max_attempts: 1,
};

/** A configuration with a stream route and one for submissions. */
export function createConfig(version = 100) {
  return {
    version,
    routes: [
      {
        ...DEFAULT_ROUTE,
        name: "narrative",
        prefix: "/narrative/",
        kind: "stream",
        service: "llm",
        gap_target_ms: 180,
      },
      {
        ...DEFAULT_ROUTE,
        name: "submit",
        prefix: "/submit/",
        kind: "non_idempotent",
        service: "app",
        timeout_ms: 10_000,
      },
    ],
    services: [
      {
        name: "llm",
        health_path: "/health",
        max_conns: 64,
        engine: {
          slots: 24,
          kv_tokens: 34_161,
          kv_bytes: 163_840,
          link_mbps: 24_000,
          moves: true,
          backups: true,
          stride: 4,
        },
      },
      { name: "app", health_path: "/health", max_conns: 110 },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 5_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: "team-a", api_keys: ["key-a"], priority: 1 }],
  };
}

/** A process of the project, started with the command of the deploy file. */
export class Gateway {
  _child;
  _folder;
  _record;
  _ports;
  _hasExited = false;
  output = "";

  constructor(record) {
    this._record = record;
  }

  get port() {
    return this._ports[0];
  }

  get pid() {
    return this._child.pid;
  }

  get hasExited() {
    return this._hasExited;
  }

  async start(storePort) {
    this._ports = await reservePorts(4);
    const [front, ready, control, metrics] = this._ports;
    this._folder = mkdtempSync(join(tmpdir(), "review-"));
    const settingsPath = join(this._folder, "boot.conf");
    writeFileSync(
      settingsPath,
      [
        "node_name=front-zone-a-1",
        "role=entry",
        "machine_class=front",
        "serves=front,control",
        `ip=${HOST}`,
        "zone=zone-a",
        "region=region-a",
        "zones.zone-a=region-a",
        `listen.front=${HOST}:${front}`,
        `listen.ready=${HOST}:${ready}`,
        `listen.control=${HOST}:${control}`,
        "seeds=",
        "bootstrap=true",
        "bounds.drain_ms=2500",
        "bounds.grace_s=8",
        "bounds.revoke_strict=true",
        "bounds.revoke_ms=5000",
        "bounds.retry_ratio=0.2",
        "bounds.retry_window_s=10",
        "bounds.retry_slack=56",
        `platform.address=${HOST}:${storePort}`,
        "",
      ].join("\n"),
    );
    const deploy = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
    const [program, ...words] = /^run = "([^"]*)"$/m.exec(deploy)[1].split(" ");
    const args = words.map((word) =>
      word.startsWith("--metrics=") ? `--metrics=${metrics}/metrics` : word,
    );
    const { PATH, HOME } = process.env;
    this._child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH, HOME, JUJUBELADDER_SETTINGS: settingsPath },
      stdio: ["ignore", "pipe", "pipe"],
    });
    for (const stream of [this._child.stdout, this._child.stderr])
      stream.on("data", (bytes) => {
        this.output += String(bytes);
      });
    this._child.on("exit", (code, signal) => {
      this._hasExited = true;
      this._record.write(
        `the gateway process has ended: code ${code}, signal ${signal}`,
      );
    });
    await waitUntil("the gateway is ready", async () => {
      if (this._hasExited) throw new Error("the gateway has not started");
      const answer = await fetch(`http://${HOST}:${ready}/-/readiness`).catch(
        () => undefined,
      );
      return answer?.status === 200;
    });
    this._record.write("the gateway process is ready");
  }

  kill(signal) {
    this._record.write(`${signal} to the gateway process`);
    this._child.kill(signal);
  }

  async stop() {
    if (this._child && !this._hasExited) {
      this._child.kill("SIGKILL");
      await once(this._child, "exit");
    }
    if (this._folder) rmSync(this._folder, { recursive: true, force: true });
  }
}

/** Runs a case, writes its outcome and ends the process with its exit code. */
export async function runCase(folder, play) {
  const record = new Record(folder);
  const stops = [];
  let code = CODE_NOT_RUN;
  const end = async () => {
    for (const part of stops) await part.stop();
    process.exit(code);
  };
  // The time limit of `run.sh`.
  process.once("SIGTERM", () => {
    record.write("RESULT: could not run: it took too long");
    code = CODE_NOT_RUN;
    void end();
  });
  try {
    const isBroken = await play(record, (part) => {
      stops.unshift(part);
      return part;
    });
    code = isBroken ? CODE_BROKEN : 0;
    record.write(isBroken ? "RESULT: broken" : "RESULT: held");
  } catch (error) {
    record.write(`RESULT: could not run: ${String(error)}`);
  }
  await end();
}
