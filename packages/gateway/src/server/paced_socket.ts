import type { Socket } from "node:net";
import process from "node:process";
import { Duplex } from "node:stream";
import { monotonicMs } from "@jujubeladder/utils";
import type { PacedReader, ReadPacer } from "../decisions/read_pacer.js";

const MAX_WRITE_BYTES = 64 * 1_024;
/** Handed over to a parser that has paused meanwhile. */
const MAX_UNPARSED_BYTES = 1_024;

interface WrittenChunk {
  readonly chunk: Buffer | string;
  readonly encoding: BufferEncoding;
}

/**
 * A caller's connection as the HTTP server sees it: the bytes that arrive are handed
 * over as the pacer allows. Node.js would parse all that one read has brought
 * before anything else runs.
 */
export class PacedSocket extends Duplex implements PacedReader {
  readonly #socket: Socket;
  readonly #pacer: ReadPacer;
  #waiting: Buffer | undefined;
  #wantsBytes = true;
  #isHeld = false;
  #hasEnded = false;
  #bytesRead = 0;
  #partCount = 0;
  #takenAtMs = 0;
  requestNumber = 0;

  constructor(socket: Socket, pacer: ReadPacer) {
    super({ decodeStrings: false, readableHighWaterMark: MAX_UNPARSED_BYTES });
    this.#socket = socket;
    this.#pacer = pacer;
    pacer.add(this);
    socket.on("data", (chunk: Buffer) => {
      this.#receive(chunk);
    });
    socket.on("end", () => {
      this.#hasEnded = true;
      this.#endIfParsed();
    });
    socket.on("timeout", () => this.emit("timeout"));
    socket.on("error", (error) => this.destroy(error));
    socket.on("close", () => this.destroy());
  }

  /** Bytes that have been handed over. */
  get bytesRead(): number {
    return this.#bytesRead;
  }

  get waitingBytes(): number {
    return this.#waiting?.length ?? 0;
  }

  get wantsBytes(): boolean {
    return this.#wantsBytes;
  }

  /** Counts a part of a body that the parser has made. */
  recordPart(): void {
    this.#partCount += 1;
  }

  parse(byteCount: number): number {
    const waiting = this.#waiting;
    if (!waiting) return 0;
    const partCountBefore = this.#partCount;
    this.#waiting =
      byteCount < waiting.length ? waiting.subarray(byteCount) : undefined;
    this.#bytesRead += byteCount;
    const hasRoom = this.push(waiting.subarray(0, byteCount));
    this.#wantsBytes = hasRoom && !this.isPaused();
    if (!this.#waiting) {
      this.#endIfParsed();
      this.#updateReceiving();
    }
    return this.#partCount - partCountBefore;
  }

  hold(): void {
    this.#isHeld = true;
    this.#updateReceiving();
  }

  release(): void {
    this.#isHeld = false;
    this.#updateReceiving();
  }

  evict(): void {
    this.destroy();
  }

  /** As of `Socket`: the HTTP server sets its timeouts with it. */
  setTimeout(timeoutMs: number, callback?: () => void): this {
    this.#socket.setTimeout(timeoutMs);
    if (callback) this.once("timeout", callback);
    return this;
  }

  /** As of `Socket`: closes once all has been written. */
  destroySoon(): void {
    if (this.writable) this.end();
    if (this.writableFinished) this.destroy();
    else this.once("finish", () => this.destroy());
  }

  override _read(): void {
    this.#wantsBytes = true;
    if (!this.#waiting) {
      this.#updateReceiving();
      return;
    }
    // What is pushed within this call is parsed later, and could not be counted.
    process.nextTick(() => {
      this.#pacer.schedule(this);
    });
  }

  /** Bytes of writes that the caller's side of the connection has not taken whole. */
  get untakenBytes(): number {
    return this.writableLength;
  }

  /** Time for which it has taken none of them. */
  get stalledMs(): number {
    return this.untakenBytes > 0 ? monotonicMs() - this.#takenAtMs : 0;
  }

  override _write(
    chunk: Buffer | string,
    encoding: BufferEncoding,
    callback: (error?: Error | null) => void,
  ): void {
    this._writev([{ chunk, encoding }], callback);
  }

  override _writev(
    chunks: readonly WrittenChunk[],
    callback: (error?: Error | null) => void,
  ): void {
    this.#takenAtMs = monotonicMs();
    this.#writeBatches(chunks.flatMap(divideChunk), callback);
  }

  // Only the end of a write shows that the caller takes bytes.
  #writeBatches(
    chunks: readonly WrittenChunk[],
    callback: (error?: Error | null) => void,
  ): void {
    let byteCount = 0;
    const end = chunks.findIndex(({ chunk }) => {
      byteCount += chunk.length;
      return byteCount >= MAX_WRITE_BYTES;
    });
    const batch = end === -1 ? chunks : chunks.slice(0, end + 1);
    const rest = end === -1 ? [] : chunks.slice(end + 1);
    const onTaken = (error?: Error | null) => {
      this.#takenAtMs = monotonicMs();
      if (error || rest.length === 0) {
        callback(error);
        return;
      }
      this.#writeBatches(rest, callback);
    };
    this.#socket.cork();
    for (const [index, { chunk, encoding }] of batch.entries()) {
      const isLast = index === batch.length - 1;
      this.#socket.write(chunk, encoding, isLast ? onTaken : undefined);
    }
    this.#socket.uncork();
  }

  override _final(callback: (error?: Error | null) => void): void {
    if (this.#socket.destroyed) callback();
    else this.#socket.end(callback);
  }

  override _destroy(
    error: Error | null,
    callback: (error: Error | null) => void,
  ): void {
    this.#waiting = undefined;
    this.#pacer.remove(this);
    this.#socket.destroy();
    callback(error);
  }

  #receive(chunk: Buffer): void {
    if (this.destroyed) return;
    this.#waiting = this.#waiting
      ? Buffer.concat([this.#waiting, chunk])
      : chunk;
    if (this.#wantsBytes) this.#pacer.schedule(this);
    this.#updateReceiving();
    if (this.#waiting) this.#pacer.limitWaiting();
  }

  #updateReceiving(): void {
    const mayReceive = !this.#waiting && this.#wantsBytes && !this.#isHeld;
    if (mayReceive) this.#socket.resume();
    else this.#socket.pause();
  }

  #endIfParsed(): void {
    if (this.#hasEnded && !this.#waiting) this.push(null);
  }
}

function divideChunk({ chunk, encoding }: WrittenChunk): WrittenChunk[] {
  const parts: WrittenChunk[] = [];
  for (let offset = 0; offset < chunk.length; offset += MAX_WRITE_BYTES) {
    const end = offset + MAX_WRITE_BYTES;
    const part =
      typeof chunk === "string"
        ? chunk.slice(offset, end)
        : chunk.subarray(offset, end);
    parts.push({ chunk: part, encoding });
  }
  return parts;
}
