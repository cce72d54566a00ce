import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import { reservePort } from "./reserve_port.js";
import type { LinkMode } from "./link_mode.js";

interface SocketPair {
  readonly client: Socket;
  readonly upstream: Socket;
  isBlackholed: boolean;
}

/** A loopback TCP proxy with fault injection, for use in tests. */
export class Link {
  readonly #targetPort: number;
  readonly #pairs = new Set<SocketPair>();
  #server: Server | undefined;
  #mode: LinkMode = "open";
  #port = 0;
  #bytes = 0;
  #delayMs = 0;

  constructor(targetPort: number) {
    this.#targetPort = targetPort;
  }

  get port(): number {
    return this.#port;
  }

  /** Bytes received from both ends so far, dropped ones included. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Starts listening; after `refuse`, listens on the same port again. */
  async start(): Promise<void> {
    if (this.#server) return;
    this.#server = createServer((client) => {
      this.#accept(client);
    });
    this.#port = this.#port || (await reservePort());
    this.#server.listen(this.#port, "127.0.0.1");
    await once(this.#server, "listening");
  }

  /** Stops listening: new connections are refused, as after a crash. */
  refuse(): void {
    this.#server?.close();
    this.#server = undefined;
  }

  /** Sets the mode; `LinkMode` states which connections it affects. */
  setMode(mode: LinkMode): void {
    this.#mode = mode === "silent" ? "open" : mode;
    for (const pair of this.#pairs) {
      // These connections have lost bytes, so they can't be resumed later.
      if (mode === "silent" || mode === "cut") pair.isBlackholed = true;
      this.#applyMode(pair);
    }
  }

  /** Delays all bytes from upstream, from the next chunk on. */
  setDelay(delayMs: number): void {
    this.#delayMs = delayMs;
  }

  /** Closes the open connections, by FIN (`end`) or by RST (`reset`). */
  closeAll(how: "end" | "reset"): void {
    for (const { client, upstream } of this.#pairs) {
      if (how === "end") client.end();
      else client.resetAndDestroy();
      upstream.destroy();
    }
  }

  stop(): void {
    this.#server?.close();
    for (const pair of this.#pairs) {
      pair.client.destroy();
      pair.upstream.destroy();
    }
  }

  #accept(client: Socket): void {
    const upstream = connect(this.#targetPort, "127.0.0.1");
    const pair: SocketPair = {
      client,
      upstream,
      isBlackholed: this.#mode === "cut",
    };
    this.#pairs.add(pair);
    const close = () => {
      this.#pairs.delete(pair);
      client.destroy();
      upstream.destroy();
    };
    client.on("error", () => {
      upstream.resetAndDestroy();
    });
    // Passes an upstream refusal or reset on to the client as a reset.
    upstream.on("error", () => {
      client.resetAndDestroy();
    });
    client.on("close", close);
    upstream.on("close", () => {
      this.#runAfterDelay(close);
    });
    client.on("end", () => {
      upstream.end();
    });
    upstream.on("end", () => {
      this.#runAfterDelay(() => client.end());
    });
    client.on("data", (bytes: Buffer) => {
      this.#bytes += bytes.length;
      if (!pair.isBlackholed) upstream.write(bytes);
    });
    upstream.on("data", (bytes: Buffer) => {
      this.#bytes += bytes.length;
      if (pair.isBlackholed || this.#mode === "deaf") return;
      this.#runAfterDelay(() => client.write(bytes));
    });
    this.#applyMode(pair);
  }

  // Chunks stay in order only while the delay is constant.
  #runAfterDelay(action: () => void): void {
    if (this.#delayMs === 0) action();
    else setTimeout(action, this.#delayMs);
  }

  #applyMode(pair: SocketPair): void {
    const isHeld = this.#mode === "stalled" && !pair.isBlackholed;
    for (const socket of [pair.client, pair.upstream]) {
      if (isHeld) socket.pause();
      else socket.resume();
    }
  }
}
