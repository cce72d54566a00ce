import { once } from "node:events";
import { createServer } from "node:net";
import process from "node:process";

const FIRST_PORT = 10_000;
const PORTS_PER_PROCESS = 400;
const PROCESS_SLOTS = 50;

// Ports below the ephemeral range, which outgoing connections use.
let nextPort = FIRST_PORT + (process.pid % PROCESS_SLOTS) * PORTS_PER_PROCESS;

/**
 * Returns a free loopback port. The process id determines where the search
 * starts, so that parallel test processes rarely pick the same port.
 */
export async function findFreePort(): Promise<number> {
  for (;;) {
    const port = nextPort;
    nextPort += 1;
    if (await isFree(port)) return port;
  }
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  try {
    server.listen(port, "127.0.0.1");
    await once(server, "listening");
    server.close();
    await once(server, "close");
    return true;
  } catch {
    return false;
  }
}
