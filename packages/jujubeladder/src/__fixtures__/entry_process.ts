import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { reservePort } from "@jujubeladder/standins";
import { createDemoDocument } from "../demo/demo_document.js";
import { DemoStandins } from "../demo/demo_standins.js";

const MAIN = fileURLToPath(new URL("../main.js", import.meta.url));
const READY = /event=ready/;

/** The daemon as a process with embedded stand-ins, for tests of signals. */
export class EntryProcess {
  readonly token = "test-token";
  readonly #standins = new DemoStandins();
  #child: ChildProcess | undefined;
  #callerPort = 0;
  #adminPort = 0;

  get baseUrl(): string {
    return `http://127.0.0.1:${this.#callerPort}`;
  }

  get adminUrl(): string {
    return `http://127.0.0.1:${this.#adminPort}`;
  }

  async start(acceptWhileLeavingMs: number): Promise<void> {
    const peerPort = await reservePort();
    this.#callerPort = await reservePort();
    this.#adminPort = await reservePort();
    const instanceId = "entry-1";
    const document = createDemoDocument(this.token);
    const flags = {
      "instance-id": instanceId,
      "caller-port": this.#callerPort,
      "peer-port": peerPort,
      "admin-port": this.#adminPort,
      "platform-url": await this.#standins.start(document, {
        instanceId,
        peerPort,
      }),
      region: "local",
      "availability-zone": "local-1",
      "seal-keys": "a-secret-for-tests-only",
      "accept-while-leaving-ms": acceptWhileLeavingMs,
    };
    const args = Object.entries(flags).map(([name, v]) => `--${name}=${v}`);
    const child = spawn(process.execPath, [MAIN, "entry", ...args], {
      stdio: ["ignore", "pipe", "inherit"],
    });
    this.#child = child;
    let output = "";
    await new Promise<void>((resolve, reject) => {
      child.once("exit", () => {
        reject(new Error(`the daemon ended: ${output}`));
      });
      child.stdout.on("data", (chunk) => {
        output += String(chunk);
        if (READY.test(output)) resolve();
      });
    });
  }

  signal(name: NodeJS.Signals): void {
    this.#child?.kill(name);
  }

  /** Resolves with the exit code, or with the signal that ended it. */
  async waitForExit(): Promise<number | string | null> {
    const child = this.#child;
    if (!child) return null;
    if (child.exitCode === null && child.signalCode === null) {
      await once(child, "exit");
    }
    return child.exitCode ?? child.signalCode;
  }

  async stop(): Promise<void> {
    this.signal("SIGKILL");
    await this.waitForExit();
    this.#standins.stop();
  }
}
