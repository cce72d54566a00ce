import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { chooseEvictedConnection } from "../decisions/choose_evicted_connection.js";
import { chooseUnreadAnswer } from "../decisions/choose_unread_answer.js";
import { ReadPacer } from "../decisions/read_pacer.js";
import { CallerConnection } from "./caller_connection.js";
import { PacedSocket } from "./paced_socket.js";

/** Callers wait for an answer before they send the next request. */
const MAX_PIPELINED = 64;

/** What was short, or the caller's part in it. */
type EvictionReason =
  "connections" | "heads" | "pipeline" | "answers" | "unread";

/**
 * The connections of callers. Their number and what their unfinished heads hold
 * are bounded; beyond that, those that are idle or unfinished are closed.
 */
export class CallerConnections {
  readonly #maxConnections: number;
  readonly #maxHeadBytes: number;
  readonly #maxAnswerBytes: number;
  readonly #onEvicted: (reason: EvictionReason) => void;
  readonly #connections = new Map<Duplex, CallerConnection>();
  readonly #pacer: ReadPacer;

  constructor(options: {
    readonly maxConnections: number;
    /** Limit on the bytes of all unfinished heads, and on those not parsed yet. */
    readonly maxHeadBytes: number;
    /** Limit on the bytes of all answers that callers have not taken. */
    readonly maxAnswerBytes: number;
    readonly onEvicted: (reason: EvictionReason) => void;
  }) {
    this.#maxConnections = options.maxConnections;
    this.#maxHeadBytes = options.maxHeadBytes;
    this.#maxAnswerBytes = options.maxAnswerBytes;
    this.#pacer = new ReadPacer(options.maxHeadBytes);
    this.#onEvicted = options.onEvicted;
  }

  get size(): number {
    return this.#connections.size;
  }

  find(socket: Duplex): CallerConnection | undefined {
    return this.#connections.get(socket);
  }

  /** Adds a connection; returns it as the HTTP server is to see it. */
  add(accepted: Socket): PacedSocket | undefined {
    if (this.#connections.size >= this.#maxConnections) {
      const evicted = chooseEvictedConnection(this.#connections.values());
      this.#evict(evicted?.socket ?? accepted, "connections");
      if (!evicted) return undefined;
    }
    const socket = new PacedSocket(accepted, this.#pacer);
    this.#connections.set(socket, new CallerConnection(socket));
    socket.on("close", () => {
      this.#connections.delete(socket);
    });
    return socket;
  }

  /** A request has begun to arrive; false if its connection has been closed. */
  begin(connection: CallerConnection): boolean {
    connection.requestCount += 1;
    connection.activeCount += 1;
    connection.recordProgress();
    if (connection.activeCount <= MAX_PIPELINED) return true;
    if (!connection.socket.destroyed)
      this.#evict(connection.socket, "pipeline");
    return false;
  }

  end(connection: CallerConnection): void {
    connection.recordEnd();
  }

  /** Closes connections whose unfinished heads take too much memory. */
  evictHeads(): void {
    let bytes = 0;
    const heads: CallerConnection[] = [];
    for (const connection of this.#connections.values()) {
      const { unfinishedHeadBytes } = connection;
      if (unfinishedHeadBytes === 0) continue;
      bytes += unfinishedHeadBytes;
      heads.push(connection);
    }
    if (bytes <= this.#maxHeadBytes) return;
    heads.sort((a, b) => b.unfinishedHeadBytes - a.unfinishedHeadBytes);
    for (const { socket, unfinishedHeadBytes } of heads) {
      if (bytes <= this.#maxHeadBytes) return;
      bytes -= unfinishedHeadBytes;
      this.#evict(socket, "heads");
    }
  }

  /** Closes connections whose answers are not read and take too much memory. */
  evictAnswers(): void {
    const connections = [...this.#connections.values()];
    let bytes = connections.reduce((sum, c) => sum + c.untakenBytes, 0);
    while (bytes > this.#maxAnswerBytes) {
      const evicted = chooseUnreadAnswer(this.#connections.values());
      if (!evicted) return;
      bytes -= evicted.untakenBytes;
      this.#evict(evicted.socket, "answers");
    }
  }

  /** Closes connections whose callers have taken nothing for too long. */
  evictUnread(): void {
    // After the process stood still, a poll has to tell what was taken meanwhile.
    setImmediate(() => {
      for (const { socket, stalledMs, takeTimeoutMs } of [
        ...this.#connections.values(),
      ]) {
        if (stalledMs > takeTimeoutMs) this.#evict(socket, "unread");
      }
    });
  }

  #evict(socket: Duplex, reason: EvictionReason): void {
    this.#connections.delete(socket);
    socket.destroy();
    this.#onEvicted(reason);
  }
}
