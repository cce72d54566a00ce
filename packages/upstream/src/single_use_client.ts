import { buildConnector, Client } from "undici";
import type { RunnerAddress } from "./runner_address.js";

const CONNECT_TIMEOUT_MS = 1_000;

/**
 * HTTP client whose connection has served no other request. While
 * `isConnected` is false, no byte of the request can have been sent.
 */
export class SingleUseClient {
  readonly client: Client;
  #isConnected = false;

  constructor(
    address: RunnerAddress,
    options: {
      readonly headersTimeoutMs: number;
      readonly bodyTimeoutMs: number;
    },
  ) {
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
    this.client = new Client(`http://${address.host}:${address.port}`, {
      headersTimeout: options.headersTimeoutMs,
      bodyTimeout: options.bodyTimeoutMs,
      pipelining: 1,
      connect: (target, callback) => {
        connect(target, (...result) => {
          if (result[0] === null) this.#isConnected = true;
          callback(...result);
        });
      },
    });
  }

  get isConnected(): boolean {
    return this.#isConnected;
  }

  close(): void {
    void this.client.destroy().catch(() => undefined);
  }
}
