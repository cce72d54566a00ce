import { once } from "node:events";
import { createServer, type Server } from "node:net";

// Ports below the ephemeral range, which outgoing connections use.
const FIRST_PORT = 10_000;
const PORT_COUNT = 22_000;
/** Loopback address on which reservations are held; nothing else uses it. */
const RESERVATION_HOST = "127.0.0.2";
const SERVICE_HOST = "127.0.0.1";

/**
 * Reserves a free loopback port until this process ends. A reservation is a
 * listener on the same port of another loopback address, so the port stays free
 * to listen on, also after a restart, and no other process reserves it.
 */
export async function reservePort(): Promise<number> {
  const start = Math.floor(Math.random() * PORT_COUNT);
  for (let offset = 0; offset < PORT_COUNT; offset += 1) {
    const port = FIRST_PORT + ((start + offset) % PORT_COUNT);
    const reservation = await tryListen(port, RESERVATION_HOST);
    if (!reservation) continue;
    const probe = await tryListen(port, SERVICE_HOST);
    if (probe) {
      probe.close();
      await once(probe, "close");
      reservation.unref();
      return port;
    }
    reservation.close();
  }
  throw new Error(`no port from ${FIRST_PORT} on is free`);
}

async function tryListen(
  port: number,
  host: string,
): Promise<Server | undefined> {
  const server = createServer((socket) => socket.destroy());
  try {
    server.listen(port, host);
    await once(server, "listening");
    return server;
  } catch {
    return undefined;
  }
}
