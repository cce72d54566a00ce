import { once } from "node:events";
import { connect, createServer, type AddressInfo, type Socket } from "node:net";

/** A loopback link to a peer that can fall silent or end connections. */
export class PeerLink {
  readonly #pairs = new Set<readonly [near: Socket, far: Socket]>();
  readonly #server = createServer((near) => {
    this.#relay(near);
  });
  readonly #peerPort: number;
  #isSilent = false;

  constructor(peerPort: number) {
    this.#peerPort = peerPort;
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  async open(): Promise<void> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
  }

  /** Holds all bytes back, on connections to come as well. */
  silence(): void {
    this.#isSilent = true;
    for (const pair of this.#pairs) for (const socket of pair) socket.pause();
  }

  /** Lets bytes pass on new connections; silent ones stay so for good. */
  restore(): void {
    this.#isSilent = false;
  }

  /** Ends the connections that exist, in the regular way or by a reset. */
  endAll(how: "end" | "reset"): void {
    for (const [near, far] of this.#pairs) {
      if (how === "end") near.end();
      else near.resetAndDestroy();
      far.destroy();
    }
    this.#pairs.clear();
  }

  close(): void {
    this.endAll("reset");
    this.#server.close();
  }

  #relay(near: Socket): void {
    const far = connect(this.#peerPort, "127.0.0.1");
    const pair = [near, far] as const;
    this.#pairs.add(pair);
    near.on("data", (chunk) => far.write(chunk));
    far.on("data", (chunk) => near.write(chunk));
    for (const socket of pair) {
      socket.on("error", () => undefined);
      socket.on("close", () => {
        this.#pairs.delete(pair);
        near.destroy();
        far.destroy();
      });
      if (this.#isSilent) socket.pause();
    }
  }
}
