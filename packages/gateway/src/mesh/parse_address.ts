import { isIPv4 } from "node:net";

const PORT = /^\d{1,5}$/;
const MAX_PORT = 65_535;

/**
 * Splits the address of an instance, HOST:PORT, which is also its id. Returns
 * undefined if no instance can listen there; peers tell of each other.
 */
export function parseAddress(
  address: string,
): { readonly host: string; readonly port: number } | undefined {
  const colon = address.lastIndexOf(":");
  const host = address.slice(0, colon);
  const portText = address.slice(colon + 1);
  const port = Number(portText);
  const isValid =
    isIPv4(host) && PORT.test(portText) && port > 0 && port <= MAX_PORT;
  return isValid ? { host, port } : undefined;
}
