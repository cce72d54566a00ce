// Stand-ins for the cases of the second review: the platform's store, runners,
// clients, and one process of the project as the deploy file starts it.
import { spawn } from "node:child_process";
import { randomBytes, randomInt } from "node:crypto";
import { once } from "node:events";
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import path from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";

const ROOT = path.resolve(fileURLToPath(import.meta.url), "..", "..");
export { sleep };

/** Whether the case plays its disruption; TROUBLE=0 leaves it out. */
export const hasTrouble = process.env.TROUBLE !== "0";

/** Addresses 127.x.y.z, so that the fixed port of the metrics is free. */
export function pickAddress() {
  return `127.${randomInt(10, 250)}.${randomInt(0, 250)}.${randomInt(2, 250)}`;
}

export async function findPort(host) {
  const server = net.createServer().listen(0, host);
  await once(server, "listening");
  const { port } = server.address();
  server.close();
  await once(server, "close");
  return port;
}

export const newId = () => randomBytes(8).toString("hex");

/** Writes what was sent, answered and run, with the time since the start. */
export class Record {
  file;
  startMs = performance.now();

  constructor(folder) {
    this.file = path.join(folder, "record.txt");
    writeFileSync(this.file, "");
  }

  get nowMs() {
    return performance.now() - this.startMs;
  }

  add(what, fields = {}) {
    const text = Object.entries(fields).map(([k, v]) => `${k}=${v}`);
    const atMs = this.nowMs.toFixed(0).padStart(6);
    appendFileSync(this.file, `${atMs} ${what} ${text.join(" ")}\n`);
  }
}

/** The platform's store: keys, pages, watches; in memory. */
export class Store {
  revision = 100;
  era = 1;
  items = new Map();
  events = [];
  waiting = new Set();
  server = http.createServer((request, response) => {
    void this.handle(request, response);
  });

  async listen(host) {
    this.host = host;
    this.server.listen(0, host);
    await once(this.server, "listening");
    this.port = this.server.address().port;
  }

  get address() {
    return `${this.host}:${this.port}`;
  }

  put(key, value) {
    this.revision += 1;
    const text = Buffer.from(JSON.stringify(value)).toString("base64");
    const created = this.items.get(key)?.created ?? this.revision;
    const { revision } = this;
    const item = { key, value: text, revision, created, lease: 0 };
    this.items.set(key, item);
    this.emit(item);
  }

  remove(key) {
    this.revision += 1;
    this.items.delete(key);
    this.emit({ key, revision: this.revision, deleted: true });
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  emit(event) {
    this.events.push(event);
    for (const check of [...this.waiting]) check();
  }

  handle(request, response) {
    const url = new URL(request.url, "http://store");
    const prefix = url.searchParams.get("prefix") ?? "";
    const answer = (status, body) => {
      const text = JSON.stringify({ ...body, as_of: this.revision });
      response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
        "store-era": this.era,
      });
      response.end(text);
    };
    if (url.pathname === "/-/kv-key") {
      const item = this.items.get(url.searchParams.get("key"));
      answer(item ? 200 : 404, item ?? {});
    } else if (url.pathname === "/-/kv-range") {
      const after = url.searchParams.get("after") ?? "";
      const items = [...this.items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      answer(200, { items, more_pages: false });
    } else {
      const after = Number(url.searchParams.get("after"));
      const find = () =>
        this.events.filter(
          ({ key, revision }) => key.startsWith(prefix) && revision > after,
        );
      const check = () => {
        if (find().length > 0) finish();
      };
      const finish = () => {
        clearTimeout(timer);
        this.waiting.delete(check);
        answer(200, { events: find() });
      };
      const waitMs = Number(url.searchParams.get("wait_ms"));
      const timer = setTimeout(finish, waitMs);
      request.socket.once("close", () => {
        clearTimeout(timer);
        this.waiting.delete(check);
      });
      this.waiting.add(check);
      check();
    }
  }
}

/** One runner; `onRun(request, response, body)` answers what it runs. */
export class Runner {
  constructor({ service, slots = 24, onRun, zone = "z-a" }) {
    this.id = `i-${newId().slice(0, 8)}`;
    this.service = service;
    this.slots = slots;
    this.zone = zone;
    this.born = Date.now();
    this.onRun = onRun;
    this.server = http.createServer((request, response) => {
      void this.handle(request, response);
    });
  }

  async listen(host, port = 0) {
    this.host = host;
    this.server.listen(port, host);
    await once(this.server, "listening");
    this.port = this.server.address().port;
  }

  entry(state = "ready") {
    return {
      service: this.service,
      address: `${this.host}:${this.port}`,
      zone: this.zone,
      version: "v1",
      slots: this.slots,
      state,
      cold_left_ms: 0,
      sequence: 1,
      born: this.born,
    };
  }

  async handle(request, response) {
    const target = request.headers["x-jujubeladder-target-instance"];
    if (target !== undefined && target !== this.id) {
      response.writeHead(421, { "x-jujubeladder-instance-id": this.id });
      response.end();
      return;
    }
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    await this.onRun(request, response, Buffer.concat(chunks));
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** The headers that each answer of a runner has. */
export function ownHeaders(request) {
  return {
    "x-jujubeladder-request-id": request.headers["x-jujubeladder-request-id"],
    "x-jujubeladder-response-signature": `sig.${newId()}`,
  };
}

export const HOST = "ficu95.example";

export function createConfig(overrides = {}) {
  return {
    version: 7,
    routes: [],
    services: [],
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 4194304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
    ...overrides,
  };
}

/** One process of the project, by the command of the deploy file. */
export class Entry {
  hasEnded = false;
  peakRssMb = 0;

  constructor(record, { store, ip, memoryMb = 200, extra = {} }) {
    this.record = record;
    this.store = store;
    this.ip = ip ?? pickAddress();
    this.memoryMb = memoryMb;
    this.extra = extra;
  }

  async start() {
    const { ip } = this;
    this.front ??= await findPort(ip);
    this.ready ??= await findPort(ip);
    this.control ??= await findPort(ip);
    this.folder = mkdtempSync(path.join(tmpdir(), "review-2-"));
    const file = path.join(this.folder, "boot.conf");
    const fields = {
      node_name: "front-z-a-1",
      role: "entry",
      machine_class: "front",
      serves: "front,control",
      ip,
      zone: "z-a",
      region: "r-a",
      "zones.z-a": "r-a",
      "listen.front": `${ip}:${this.front}`,
      "listen.ready": `${ip}:${this.ready}`,
      "listen.control": `${ip}:${this.control}`,
      seeds: `${ip}:${this.control}`,
      bootstrap: "true",
      "limits.cpu_share": 0.675,
      "limits.cores": 1,
      "limits.memory_mb": this.memoryMb,
      "limits.max_fds": 4100,
      contracts:
        "base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
      "bounds.stable_window_ms": 4000,
      "bounds.drain_ms": 2500,
      "bounds.grace_s": 8,
      "bounds.loss_slack_ms": 200,
      "bounds.config_apply_ms": 2500,
      "bounds.revoke_strict": "true",
      "bounds.revoke_ms": 5000,
      "bounds.retry_ratio": 0.2,
      "bounds.retry_window_s": 10,
      "bounds.retry_slack": 56,
      "bounds.recovery_s": 12,
      "platform.address": this.store.address,
      ...this.extra,
    };
    const lines = Object.entries(fields).map(([k, v]) => `${k}=${v}`);
    writeFileSync(file, `${lines.join("\n")}\n`);
    const words = readFileSync(path.join(ROOT, "deploy/system.toml"), "utf8")
      .match(/^run = "(.*)"$/m)[1]
      .split(" ");
    this.hasEnded = false;
    this.child = spawn(words[0], words.slice(1), {
      cwd: ROOT,
      env: { PATH: process.env.PATH, JUJUBELADDER_SETTINGS: file },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.lines = [];
    for (const stream of [this.child.stdout, this.child.stderr]) {
      stream.setEncoding("utf8");
      stream.on("data", (text) => {
        this.lines.push(text);
        if (this.lines.length > 400) this.lines.shift();
        if (process.env.LOGS) process.stderr.write(text);
      });
    }
    this.child.on("exit", (code, signal) => {
      this.hasEnded = true;
      clearInterval(this.meter);
      rmSync(this.folder, { recursive: true, force: true });
      this.record.add("process ended", { code, signal });
    });
    this.meter = setInterval(() => {
      const rssMb = this.readRssMb();
      if (rssMb > this.peakRssMb) this.peakRssMb = rssMb;
    }, 50);
  }

  readRssMb() {
    try {
      const text = readFileSync(`/proc/${this.child.pid}/status`, "utf8");
      return Number(/^VmRSS:\s+(\d+)/m.exec(text)?.[1] ?? 0) / 1024;
    } catch {
      return 0;
    }
  }

  async isReady() {
    try {
      const { statusCode } = await send({
        host: this.ip,
        port: this.ready,
        path: "/-/readiness",
        timeoutMs: 1000,
      });
      return statusCode === 200;
    } catch {
      return false;
    }
  }

  async waitReady() {
    for (let n = 0; n < 150; n += 1) {
      if (this.hasEnded) throw new Error("the process ended on its start");
      if (await this.isReady()) return;
      await sleep(100);
    }
    throw new Error("the process doesn't get ready");
  }

  async stop() {
    if (!this.child || this.hasEnded) return;
    const ended = once(this.child, "exit");
    this.child.kill("SIGKILL");
    await ended;
  }
}

/** Sends one request on a connection of its own and reads its whole answer. */
export async function send(options) {
  const { host, port, method = "GET", timeoutMs = 10_000, body } = options;
  return await new Promise((resolve, reject) => {
    const request = http.request({
      host,
      port,
      method,
      path: options.path,
      headers: options.headers,
      agent: options.agent ?? false,
    });
    const timer = setTimeout(() => {
      request.destroy(new Error("no answer in time"));
    }, timeoutMs);
    request.on("error", (error) => {
      clearTimeout(timer);
      reject(error);
    });
    request.on("response", (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", reject);
      response.on("aborted", () => reject(new Error("the answer was cut")));
      response.on("end", () => {
        clearTimeout(timer);
        resolve({
          statusCode: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(chunks),
        });
      });
    });
    request.end(body);
  });
}

/** Runs a case: 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
export async function runCase(play) {
  const folder = path.dirname(fileURLToPath(new URL(process.argv[1], "file:")));
  const record = new Record(folder);
  const closers = [];
  let code = 2;
  try {
    const isBroken = await play(record, (closer) => closers.push(closer));
    code = isBroken ? 1 : 0;
    record.add(isBroken ? "the rule was broken" : "the rule held");
  } catch (error) {
    record.add("the case could not run", { error: error.stack });
  }
  for (const close of closers.reverse()) await close();
  process.exit(code);
}
