import { monotonicMs } from "@jujubeladder/utils";
import type { PacedSocket } from "./paced_socket.js";

const DEFAULT_TAKE_TIMEOUT_MS = 60_000;

/** A connection that a caller has opened. */
export class CallerConnection {
  readonly socket: PacedSocket;
  /** On the monotonic clock. */
  readonly openedAtMs = monotonicMs();
  #progressedAtMs = this.openedAtMs;
  /** Bytes read when the last request was finished. */
  #answeredBytes = 0;
  requestCount = 0;
  /** For how long its caller may take nothing of an answer. */
  takeTimeoutMs = DEFAULT_TAKE_TIMEOUT_MS;
  /** Requests that are finished, however they ended. */
  servedCount = 0;
  /** Requests that have begun to arrive and are not finished. */
  activeCount = 0;
  /** Those of them that have arrived whole. */
  servingCount = 0;

  constructor(socket: PacedSocket) {
    this.socket = socket;
  }

  get isServing(): boolean {
    return this.servingCount > 0;
  }

  get untakenBytes(): number {
    return this.socket.untakenBytes;
  }

  get stalledMs(): number {
    return this.socket.stalledMs;
  }

  get idleMs(): number {
    return monotonicMs() - this.#progressedAtMs;
  }

  /** Bytes of a head that has not ended, if no request is in progress. */
  get unfinishedHeadBytes(): number {
    return this.activeCount === 0
      ? this.socket.bytesRead - this.#answeredBytes
      : 0;
  }

  recordEnd(): void {
    this.activeCount -= 1;
    this.servedCount += 1;
    this.socket.requestNumber = this.servedCount;
    this.#answeredBytes = this.socket.bytesRead;
    this.recordProgress();
  }

  /** A part of a body has arrived. */
  recordPart(): void {
    this.socket.recordPart();
    this.recordProgress();
  }

  recordProgress(): void {
    this.#progressedAtMs = monotonicMs();
  }
}
