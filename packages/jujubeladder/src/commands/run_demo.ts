import { createServer } from "node:net";
import { once } from "node:events";
import process from "node:process";
import type { AddressInfo } from "node:net";
import { createDemoDocument } from "../demo/demo_document.js";
import { DemoStandins } from "../demo/demo_standins.js";
import { runDemoRequests } from "../demo/run_demo_requests.js";
import { EntryInstance } from "../entry/entry_instance.js";
import { loadSettings } from "../settings/load_settings.js";
import { exitWithUsage } from "./exit_with_usage.js";

const TOKEN = "demo-token";
const PREFERRED_CALLER_PORT = 8080;

/** `jujubeladder demo`: runs one instance against embedded stand-ins. */
export async function runDemo(options: {
  readonly once: boolean;
}): Promise<void> {
  const peerPort = await findPort(0);
  // With --once any free port will do: two concurrent demos could both find the
  // preferred port free, and only a demo that stays up needs a known port.
  const callerPort = await findPort(options.once ? 0 : PREFERRED_CALLER_PORT);
  const adminPort = await findPort(0);
  const standins = new DemoStandins();
  const instanceId = "entry-1";
  const platformUrl = await standins.start(createDemoDocument(TOKEN), {
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
      sealKeys: "a-secret-for-the-demo-only",
      acceptWhileLeavingMs: options.once ? 0 : 1_000,
    },
    {},
  );
  if (!settings.ok) {
    exitWithUsage(settings.error);
    return;
  }
  const instance = new EntryInstance(settings.value);
  await instance.start();
  const baseUrl = `http://127.0.0.1:${callerPort}`;
  await runDemoRequests(baseUrl, TOKEN, print);
  const stop = async () => {
    await instance.stop();
    standins.stop();
    process.exit(0);
  };
  if (options.once) {
    await stop();
    return;
  }
  process.once("SIGTERM", () => void stop());
  process.once("SIGINT", () => void stop());
  printExamples(baseUrl, `http://127.0.0.1:${adminPort}`);
}

function printExamples(baseUrl: string, adminUrl: string): void {
  print("");
  print("The demo goes on serving; stop it with Ctrl-C. Try:");
  print(
    `  curl -N ${baseUrl}/v1/chat/completions ` +
      `-H 'Authorization: Bearer ${TOKEN}' ` +
      `-d '{"model":"writer","stream":true,` +
      `"messages":[{"role":"user","content":"len=20"}]}'`,
  );
  print(`  curl ${adminUrl}/status`);
  print(`  curl ${adminUrl}/metrics`);
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

// Returns the preferred port if it is free, and any free port otherwise.
async function findPort(preferred: number): Promise<number> {
  const probe = createServer();
  try {
    probe.listen(preferred, "127.0.0.1");
    await once(probe, "listening");
    return (probe.address() as AddressInfo).port;
  } catch {
    return await findPort(0);
  } finally {
    probe.close();
  }
}
