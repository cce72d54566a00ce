import type { Result } from "@jujubeladder/types";
import type { GatewayRunner } from "../model/gateway_runner.js";
import { HttpConnection } from "./http_connection.js";

/** Limit on idle connections to one runner. */
const MAX_IDLE_PER_RUNNER = 4;
/** Connections idle for longer are not reused: the runner may close them. */
const MAX_IDLE_MS = 2_000;
/** Connections are dropped this long before their announced keep-alive ends. */
const KEEP_ALIVE_MARGIN_MS = 1_000;

interface IdleConnection {
  readonly connection: HttpConnection;
  readonly maxIdleMs: number;
}

/** Keeps idle connections to runners for reuse. */
export class ConnectionPool {
  readonly #idle = new Map<string, IdleConnection[]>();

  /**
   * Returns an idle or a new connection. Use `mustBeNew` for a request that
   * must not be executed twice, since the runner may be closing an idle one.
   */
  async acquire(
    runner: GatewayRunner,
    options: {
      readonly mustBeNew: boolean;
      readonly timeoutMs: number;
      readonly signal: AbortSignal;
    },
  ): Promise<Result<HttpConnection, string>> {
    const idle = options.mustBeNew
      ? undefined
      : this.#acquireIdle(runner.runnerId);
    if (idle) return { ok: true, value: idle };
    return await HttpConnection.open(
      { host: runner.host, port: runner.port },
      options,
    );
  }

  /** Returns a connection whose last response is complete to the pool. */
  release(
    runnerId: string,
    connection: HttpConnection,
    keepAliveMs = MAX_IDLE_MS + KEEP_ALIVE_MARGIN_MS,
  ): void {
    const maxIdleMs = Math.min(MAX_IDLE_MS, keepAliveMs - KEEP_ALIVE_MARGIN_MS);
    const idle = this.#idle.get(runnerId) ?? [];
    if (
      maxIdleMs <= 0 ||
      !connection.isOpen ||
      idle.length >= MAX_IDLE_PER_RUNNER
    ) {
      connection.close();
      return;
    }
    idle.push({ connection, maxIdleMs });
    this.#idle.set(runnerId, idle);
  }

  /** Closes the idle connections to one runner. */
  closeIdleOf(runnerId: string): void {
    for (const { connection } of this.#idle.get(runnerId) ?? [])
      connection.close();
    this.#idle.delete(runnerId);
  }

  /** Closes connections whose idle time has run out. */
  closeIdle(): void {
    for (const [runnerId, idle] of this.#idle) {
      const kept = idle.filter((entry) => {
        const isKept = isUsable(entry);
        if (!isKept) entry.connection.close();
        return isKept;
      });
      if (kept.length > 0) this.#idle.set(runnerId, kept);
      else this.#idle.delete(runnerId);
    }
  }

  closeAll(): void {
    for (const idle of this.#idle.values()) {
      for (const { connection } of idle) connection.close();
    }
    this.#idle.clear();
  }

  #acquireIdle(runnerId: string): HttpConnection | undefined {
    const idle = this.#idle.get(runnerId) ?? [];
    for (let entry = idle.pop(); entry; entry = idle.pop()) {
      if (isUsable(entry)) return entry.connection;
      entry.connection.close();
    }
    return undefined;
  }
}

function isUsable({ connection, maxIdleMs }: IdleConnection): boolean {
  return connection.isOpen && connection.idleMs < maxIdleMs;
}
