import type { Result } from "@jujubeladder/types";
import type { GatewayRunner } from "../model/gateway_runner.js";
import { RunnerConnection } from "./runner_connection.js";

/** Most idle connections that are kept to one runner. */
const MAX_IDLE = 4;
/** Idle time after which a connection is not used again: runners may close. */
const MAX_IDLE_MS = 2_000;
/** A runner closes at the announced time; leave before that. */
const KEEP_ALIVE_MARGIN_MS = 1_000;

interface Idle {
  readonly connection: RunnerConnection;
  readonly usableMs: number;
}

/** Connections to runners, by runner. */
export class ConnectionPool {
  readonly #idle = new Map<string, Idle[]>();

  /**
   * Returns a connection. A request that must not run twice gets a fresh one,
   * since an idle one may be closing at the other end.
   */
  async take(
    runner: GatewayRunner,
    options: {
      readonly isFresh: boolean;
      readonly timeoutMs: number;
      readonly signal: AbortSignal;
    },
  ): Promise<Result<RunnerConnection, string>> {
    const idle = options.isFresh ? undefined : this.#takeIdle(runner.runnerId);
    if (idle) return { ok: true, value: idle };
    return await RunnerConnection.open(
      { host: runner.host, port: runner.port },
      options,
    );
  }

  /** Takes back a connection on which a whole answer was received. */
  giveBack(
    runnerId: string,
    connection: RunnerConnection,
    keepAliveMs = MAX_IDLE_MS + KEEP_ALIVE_MARGIN_MS,
  ): void {
    const usableMs = Math.min(MAX_IDLE_MS, keepAliveMs - KEEP_ALIVE_MARGIN_MS);
    const idle = this.#idle.get(runnerId) ?? [];
    if (usableMs <= 0 || !connection.isOpen || idle.length >= MAX_IDLE) {
      connection.close();
      return;
    }
    idle.push({ connection, usableMs });
    this.#idle.set(runnerId, idle);
  }

  /** Closes connections that have been idle for too long. */
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

  #takeIdle(runnerId: string): RunnerConnection | undefined {
    const idle = this.#idle.get(runnerId) ?? [];
    for (let entry = idle.pop(); entry; entry = idle.pop()) {
      if (isUsable(entry)) return entry.connection;
      entry.connection.close();
    }
    return undefined;
  }
}

function isUsable({ connection, usableMs }: Idle): boolean {
  return connection.isOpen && connection.idleMs < usableMs;
}
