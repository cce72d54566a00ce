import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import { findFreePort } from "./find_free_port.js";
import type { LinkMode } from "./link_mode.js";

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  isDead: boolean;
}

/** A TCP link whose faults a trace controls. */
export class Link {
  readonly #targetPort: number;
  readonly #pairs = new Set<Pair>();
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

  /** Bytes carried so far, both ways. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Listens; also again after `refuse`, at the same port. */
  async start(): Promise<void> {
    if (this.#server) return;
    this.#server = createServer((near) => {
      this.#accept(near);
    });
    this.#port = this.#port || (await findFreePort());
    this.#server.listen(this.#port, "127.0.0.1");
    await once(this.#server, "listening");
  }

  /** Refuses connections, as the address of a dead process does. */
  refuse(): void {
    this.#server?.close();
    this.#server = undefined;
  }

  setMode(mode: LinkMode): void {
    this.#mode = mode === "silent" ? "open" : mode;
    for (const pair of this.#pairs) {
      // What was cut or silenced has lost bytes and can never go on.
      if (mode === "silent" || mode === "cut") pair.isDead = true;
      this.#apply(pair);
    }
  }

  /** Holds what the far end sends back by this time from now on. */
  setDelay(delayMs: number): void {
    this.#delayMs = delayMs;
  }

  /** Ends the connections that exist, in the regular way or by a reset. */
  endAll(how: "end" | "reset"): void {
    for (const { near, far } of this.#pairs) {
      if (how === "end") near.end();
      else near.resetAndDestroy();
      far.destroy();
    }
  }

  stop(): void {
    this.#server?.close();
    for (const pair of this.#pairs) {
      pair.near.destroy();
      pair.far.destroy();
    }
  }

  #accept(near: Socket): void {
    const far = connect(this.#targetPort, "127.0.0.1");
    const pair: Pair = { near, far, isDead: this.#mode === "cut" };
    this.#pairs.add(pair);
    const close = () => {
      this.#pairs.delete(pair);
      near.destroy();
      far.destroy();
    };
    near.on("error", () => {
      far.resetAndDestroy();
    });
    // A refused or reset far end must look refused or reset here.
    far.on("error", () => {
      near.resetAndDestroy();
    });
    near.on("close", close);
    far.on("close", () => {
      this.#afterDelay(close);
    });
    near.on("end", () => {
      far.end();
    });
    far.on("end", () => {
      this.#afterDelay(() => near.end());
    });
    near.on("data", (bytes: Buffer) => {
      this.#bytes += bytes.length;
      if (!pair.isDead) far.write(bytes);
    });
    far.on("data", (bytes: Buffer) => {
      this.#bytes += bytes.length;
      if (pair.isDead || this.#mode === "deaf") return;
      this.#afterDelay(() => near.write(bytes));
    });
    this.#apply(pair);
  }

  // A constant delay keeps the order of what was sent.
  #afterDelay(act: () => void): void {
    if (this.#delayMs === 0) act();
    else setTimeout(act, this.#delayMs);
  }

  #apply(pair: Pair): void {
    const isHeld = this.#mode === "stalled" && !pair.isDead;
    for (const socket of [pair.near, pair.far]) {
      if (isHeld) socket.pause();
      else socket.resume();
    }
  }
}
