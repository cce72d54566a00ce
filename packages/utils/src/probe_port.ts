import { connect } from "node:net";
import type { PortContact } from "./port_contact.js";
import { sleep } from "./sleep.js";

/** Time in which a process that ends closes its port, behind its connections. */
const DELAY_MS = 20;
/** Time of a busy process to accept, or of the way there to lose a packet. */
const TIMEOUT_MS = 400;

/**
 * Tries a port just after its process has ended a connection in an orderly way, as
 * the system also does for a process that was killed. Takes `maxWaitMs` at most.
 */
export async function probePort(
  endpoint: { readonly host: string; readonly port: number },
  maxWaitMs = Number.POSITIVE_INFINITY,
): Promise<PortContact> {
  const delayMs = Math.min(DELAY_MS, Math.max(0, maxWaitMs));
  await sleep(delayMs);
  const timeoutMs = Math.min(TIMEOUT_MS, Math.max(1, maxWaitMs - delayMs));
  return await new Promise((resolve) => {
    const socket = connect({ host: endpoint.host, port: endpoint.port });
    const finish = (contact: PortContact) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(contact);
    };
    const timer = setTimeout(() => {
      finish("silent");
    }, timeoutMs);
    socket.once("connect", () => {
      finish("accepted");
    });
    socket.on("error", (error) => {
      const isRefused = "code" in error && error.code === "ECONNREFUSED";
      finish(isRefused ? "refused" : "silent");
    });
  });
}
