import { once } from "node:events";
import { createServer } from "node:net";
import process from "node:process";

const FIRST_PORT = 10_000;
const PORTS_PER_PROCESS = 400;
const PROCESS_SLOTS = 50;

// Below the range that outgoing connections take their ports from.
let nextPort = FIRST_PORT + (process.pid % PROCESS_SLOTS) * PORTS_PER_PROCESS;

/** Returns a loopback port that nobody else will take. */
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
