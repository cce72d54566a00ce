import { Link, reservePort, type LinkMode } from "@jujubeladder/standins";
import { mkdirSync, mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import type {
  ConfigDocument,
  Instance,
  MemberState,
  Runner,
} from "@jujubeladder/types";
import { Child } from "./child.js";
import { createConfig } from "./create_config.js";
import type { FleetOptions } from "./fleet_options.js";
import { waitUntil } from "./wait_until.js";

const ENTRY_MAIN = resolvePackage("jujubeladder");
const STANDIN_MAIN = resolvePackage("@jujubeladder/standins");
const REGIONS = ["region-a", "region-b", "region-c"];
const LISTENING = /event=listening port=(\d+)/;

interface Entry {
  readonly name: string;
  readonly callerPort: number;
  readonly peerPort: number;
  readonly adminPort: number;
  readonly region: string;
}

interface Backend {
  readonly name: string;
  readonly serviceId: string;
  readonly port: number;
  readonly region: string;
}

/** A fleet of real processes connected by links with fault injection. */
export class Fleet {
  readonly #options: FleetOptions;
  readonly #folder: string;
  readonly #children = new Map<string, Child>();
  readonly #entries = new Map<string, Entry>();
  readonly #backends = new Map<string, Backend>();
  readonly #links = new Map<string, Link>();
  readonly #states = new Map<string, MemberState>();
  readonly #unlisted = new Set<string>();
  #platformPort = 0;
  #config: ConfigDocument;

  constructor(options: FleetOptions) {
    this.#options = options;
    this.#config = createConfig(options.config);
    this.#folder = mkdtempSync(join(tmpdir(), "jujubeladder-proof-"));
    mkdirSync(this.#folder, { recursive: true });
  }

  get folder(): string {
    return this.#folder;
  }

  get entryNames(): readonly string[] {
    return [...this.#entries.keys()];
  }

  get backendNames(): readonly string[] {
    return [...this.#backends.keys()];
  }

  get config(): ConfigDocument {
    return this.#config;
  }

  child(name: string): Child {
    const child = this.#children.get(name);
    if (!child) throw new Error(`Process ${name} was never started`);
    return child;
  }

  callerUrl(entry: string): string {
    return `http://127.0.0.1:${this.#entry(entry).callerPort}`;
  }

  adminUrl(entry: string): string {
    return `http://127.0.0.1:${this.#entry(entry).adminPort}`;
  }

  backendUrl(name: string): string {
    return `http://127.0.0.1:${this.#backend(name).port}`;
  }

  get platformUrl(): string {
    return `http://127.0.0.1:${this.#platformPort}`;
  }

  async start(): Promise<void> {
    this.#platformPort = await this.#startStandin("platform", ["platform"]);
    const { weightLoadsPerMinute } = this.#options;
    if (weightLoadsPerMinute !== undefined) {
      await this.#put("/admin/weight-rate", {
        loadsPerMinute: weightLoadsPerMinute,
      });
    }
    await this.#startBackends();
    const count = this.#options.entries;
    for (let number = 1; number <= count; number += 1) {
      await this.#addEntry(`entry-${number}`, number - 1);
    }
    for (const name of this.#options.absent ?? []) this.#unlisted.add(name);
    await this.publish({}, this.entryNames);
    await this.publishLists();
    const present = this.entryNames.filter((n) => !this.#unlisted.has(n));
    for (const name of present) await this.startEntry(name);
    await Promise.all(present.map(async (name) => this.waitUntilReady(name)));
    await this.#waitUntilPeersKnown(present);
  }

  /** Bytes transferred between entries in both directions. */
  get peerBytes(): number {
    return [...this.#links]
      .filter(([key]) => key.includes(">entry"))
      .reduce((sum, [, link]) => sum + link.bytes, 0);
  }

  /** Starts an entry's process; lists published from then on include it. */
  async startEntry(name: string): Promise<void> {
    for (const link of this.#linksTo(name)) await link.start();
    const entry = this.#entry(name);
    this.#unlisted.delete(name);
    this.#states.set(name, "live");
    const flags = {
      "instance-id": name,
      "caller-port": entry.callerPort,
      "peer-port": entry.peerPort,
      "admin-port": entry.adminPort,
      region: entry.region,
      "availability-zone": `${entry.region}-1`,
      "platform-url": `${this.platformUrl}/views/${name}`,
      "seal-keys": "a-secret-for-tests-only",
      "accept-while-leaving-ms": 1_000,
      ...this.#options.flags,
    };
    const args = Object.entries(flags).map(([key, v]) => `--${key}=${v}`);
    this.#spawn(name, [ENTRY_MAIN, "entry", ...args]);
  }

  async startEngine(name: string): Promise<void> {
    const index = Number(name.split("-")[1]) - 1;
    const { port } = this.#backend(name);
    await this.#spawnEngine(name, index, port);
    for (const link of this.#linksTo(name)) await link.start();
  }

  async waitUntilReady(name: string): Promise<void> {
    await waitUntil(`${name} is ready`, async () => {
      const url = `${this.adminUrl(name)}/readyz`;
      const response = await request(url).catch(() => undefined);
      await response?.body.dump();
      return response?.statusCode === 200;
    });
  }

  /** Publishes a new configuration document to the given platform views. */
  async publish(
    changes: Partial<ConfigDocument>,
    views: readonly string[],
  ): Promise<void> {
    this.#config = {
      ...this.#config,
      publishedAtMs: Date.now(),
      ...changes,
      defaults: { ...this.#config.defaults, ...changes.defaults },
    };
    await this.publishText(JSON.stringify(this.#config), views);
  }

  async publishText(text: string, views: readonly string[]): Promise<void> {
    for (const view of views) {
      await this.#put(`/admin/views/${view}`, { configText: text });
    }
  }

  async setPlatform(
    view: string,
    modes: { readonly configMode?: string; readonly listMode?: string },
  ): Promise<void> {
    await this.#put(`/admin/views/${view}`, modes);
  }

  /** Sets a member's state in the instance lists; "gone" removes it. */
  async setMember(name: string, state: MemberState | "gone"): Promise<void> {
    if (state === "gone") this.#unlisted.add(name);
    else {
      this.#unlisted.delete(name);
      this.#states.set(name, state);
    }
    await this.publishLists();
  }

  async publishLists(): Promise<void> {
    for (const viewer of this.entryNames) {
      const list = await this.#buildList(viewer);
      await this.#put(`/admin/views/${viewer}`, { list });
    }
  }

  async setLink(from: string, to: string, mode: LinkMode): Promise<void> {
    (await this.#link(from, to)).setMode(mode);
  }

  async fetchTruth<Value>(name: string): Promise<Value> {
    const url = name === "platform" ? this.platformUrl : this.backendUrl(name);
    const response = await request(`${url}/truth`);
    return (await response.body.json()) as Value;
  }

  async stop(): Promise<void> {
    await Promise.all([...this.#children.values()].map((c) => c.destroy()));
    for (const link of this.#links.values()) link.stop();
  }

  async #startBackends(): Promise<void> {
    for (const index of (this.#options.engines ?? []).keys()) {
      const name = `engine-${index + 1}`;
      const port = await this.#spawnEngine(name, index, 0);
      this.#addBackend(name, "writer", { port, index });
    }
    for (let index = 0; index < (this.#options.plains ?? 0); index += 1) {
      const name = `plain-${index + 1}`;
      const port = await this.#startStandin(name, ["plain", name]);
      this.#addBackend(name, "filing", { port, index });
    }
  }

  async #spawnEngine(
    name: string,
    index: number,
    port: number,
  ): Promise<number> {
    const options = {
      weightStoreUrl: this.platformUrl,
      ...this.#options.engines?.[index],
    };
    const json = JSON.stringify(options);
    const args = ["engine", name, `--port=${port}`, `--options=${json}`];
    return await this.#startStandin(name, args);
  }

  #addBackend(
    name: string,
    serviceId: string,
    options: { readonly port: number; readonly index: number },
  ): void {
    const { port, index } = options;
    const region = REGIONS[index % REGIONS.length] ?? "";
    this.#backends.set(name, { name, serviceId, port, region });
    this.#states.set(name, "live");
  }

  async #addEntry(name: string, index: number): Promise<void> {
    this.#entries.set(name, {
      name,
      callerPort: await reservePort(),
      peerPort: await reservePort(),
      adminPort: await reservePort(),
      region: REGIONS[index % REGIONS.length] ?? "",
    });
    this.#states.set(name, "live");
  }

  async #buildList(viewer: string): Promise<{
    readonly instances: readonly Instance[];
    readonly runners: readonly Runner[];
  }> {
    const instances: Instance[] = [];
    for (const entry of this.#entries.values()) {
      if (this.#unlisted.has(entry.name)) continue;
      const link = await this.#link(viewer, entry.name);
      instances.push({
        instanceId: entry.name,
        host: "127.0.0.1",
        peerPort: link.port,
        region: entry.region,
        availabilityZone: `${entry.region}-1`,
        state: this.#states.get(entry.name) ?? "live",
      });
    }
    const runners: Runner[] = [];
    for (const backend of this.#backends.values()) {
      if (this.#unlisted.has(backend.name)) continue;
      const link = await this.#link(viewer, backend.name);
      runners.push({
        runnerId: backend.name,
        serviceId: backend.serviceId,
        host: "127.0.0.1",
        port: link.port,
        region: backend.region,
        availabilityZone: `${backend.region}-1`,
        state: this.#states.get(backend.name) ?? "live",
      });
    }
    return { instances, runners };
  }

  async #link(from: string, to: string): Promise<Link> {
    const key = `${from}>${to}`;
    const known = this.#links.get(key);
    if (known) return known;
    const port =
      this.#entries.get(to)?.peerPort ?? this.#backends.get(to)?.port;
    if (port === undefined) throw new Error(`Unknown process ${to}`);
    const link = new Link(port);
    await link.start();
    this.#links.set(key, link);
    return link;
  }

  // Waits until each entry knows two peers, or its only peer in a fleet of two,
  // so that witnesses are available.
  async #waitUntilPeersKnown(names: readonly string[]): Promise<void> {
    const minPeers = Math.min(names.length - 1, 2);
    await waitUntil("the entries know enough peers", async () => {
      for (const name of names) {
        const response = await request(`${this.adminUrl(name)}/status`);
        const status = (await response.body.json()) as {
          readonly peers: readonly unknown[];
        };
        if (status.peers.length < minPeers) return false;
      }
      return true;
    });
  }

  async #startStandin(name: string, args: readonly string[]): Promise<number> {
    const child = this.#spawn(name, [STANDIN_MAIN, ...args]);
    await waitUntil(`${name} listens`, () => LISTENING.test(child.output));
    return Number(LISTENING.exec(child.output)?.[1]);
  }

  #spawn(name: string, args: readonly string[]): Child {
    const logFile = join(this.#folder, `${name}.log`);
    const child = new Child(name, {
      args,
      logFile,
      onExit: () => {
        for (const link of this.#linksTo(name)) link.refuse();
      },
    });
    this.#children.set(name, child);
    return child;
  }

  #linksTo(name: string): readonly Link[] {
    return [...this.#links]
      .filter(([key]) => key.endsWith(`>${name}`))
      .map(([, link]) => link);
  }

  async #put(path: string, body: object): Promise<void> {
    const response = await request(`${this.platformUrl}${path}`, {
      method: "PUT",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(body),
    });
    await response.body.dump();
  }

  #entry(name: string): Entry {
    const entry = this.#entries.get(name);
    if (!entry) throw new Error(`Unknown entry ${name}`);
    return entry;
  }

  #backend(name: string): Backend {
    const backend = this.#backends.get(name);
    if (!backend) throw new Error(`Unknown backend ${name}`);
    return backend;
  }
}

function resolvePackage(name: string): string {
  return fileURLToPath(new URL("./main.js", import.meta.resolve(name)));
}
