import { once } from "node:events";
import { createServer, type AddressInfo } from "node:net";
import { createDemoDocument } from "../demo/demo_document.js";
import { DemoStandins } from "../demo/demo_standins.js";
import { EntryInstance } from "../entry/entry_instance.js";
import { loadSettings } from "../settings/load_settings.js";

const TOKEN = "test-token";

/** One in-process instance with embedded stand-ins, for tests. */
export class DemoFleet {
  readonly token = TOKEN;
  readonly #standins = new DemoStandins();
  #instance: EntryInstance | undefined;
  #callerPort = 0;

  get baseUrl(): string {
    return `http://127.0.0.1:${this.#callerPort}`;
  }

  async start(): Promise<void> {
    const [callerPort, peerPort, adminPort] = await findPorts();
    const instanceId = "entry-1";
    const platformUrl = await this.#standins.start(createDemoDocument(TOKEN), {
      instanceId,
      peerPort,
    });
    const settings = loadSettings(
      {
        instanceId,
        callerPort,
        peerPort,
        adminPort,
        platformUrl,
        region: "local",
        availabilityZone: "local-1",
        sealKeys: "a-secret-for-tests-only",
        acceptWhileLeavingMs: 0,
      },
      {},
    );
    if (!settings.ok) throw new Error(settings.error);
    this.#callerPort = callerPort;
    this.#instance = new EntryInstance(settings.value);
    await this.#instance.start();
  }

  async stop(): Promise<void> {
    await this.#instance?.stop();
    this.#standins.stop();
  }
}

async function findPorts(): Promise<readonly [number, number, number]> {
  const servers = [createServer(), createServer(), createServer()] as const;
  for (const server of servers) {
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
  }
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  for (const server of servers) server.close();
  return ports as unknown as readonly [number, number, number];
}
