/** Splits the address of an instance, HOST:PORT, which is also its id. */
export function parseAddress(address: string): {
  readonly host: string;
  readonly port: number;
} {
  const colon = address.lastIndexOf(":");
  return {
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}
