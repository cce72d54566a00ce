/** Chunks of one byte take longest: each of them is an object. */
const MAX_TURN_BYTES = 16 * 1_024;
/** Most requests of ordinary callers are smaller. */
const MIN_SLICE_BYTES = 1_024;
const MAX_SLICE_BYTES = MAX_TURN_BYTES;
/** Below this mean size of its parts, a body is read in the smallest slices. */
const MIN_MEAN_PART_BYTES = 64;
/** From here on, a turn of its own restores what may be parsed. */
const MAX_UNCOUNTED_BYTES = 4 * 1_024;
const RELEASES_PER_TURN = 16;

/** A connection whose received bytes wait to be parsed. */
export interface PacedReader {
  /** Bytes that wait; they are parsed only while the parser wants them. */
  readonly waitingBytes: number;
  readonly wantsBytes: boolean;
  /** Number of its current request on this connection. */
  readonly requestNumber: number;
  /** Parses waiting bytes; returns the number of body parts that they had. */
  parse(byteCount: number): number;
  /** Stops and resumes receiving. */
  hold(): void;
  release(): void;
  /** Closes the connection as its bytes take too much memory. */
  evict(): void;
}

interface ReaderState {
  sliceBytes: number;
  /** The request for which a slice has been parsed. */
  startedRequest: number | undefined;
}

/**
 * Shares the event loop among connections: bounds the bytes that are parsed in
 * one turn, and lets requests that have just begun go first. What waits is bounded,
 * too: beyond that, connections are not read from, and those whose parser does not
 * want their bytes are closed.
 */
export class ReadPacer {
  readonly #maxWaitingBytes: number;
  readonly #scheduleTurn: (startTurn: () => void) => void;
  readonly #readers = new Map<PacedReader, ReaderState>();
  readonly #begun = new Set<PacedReader>();
  readonly #new = new Set<PacedReader>();
  readonly #held = new Set<PacedReader>();
  #leftBytes = MAX_TURN_BYTES;
  #isTurnScheduled = false;

  constructor(
    maxWaitingBytes: number,
    scheduleTurn: (startTurn: () => void) => void = setImmediate,
  ) {
    this.#maxWaitingBytes = maxWaitingBytes;
    this.#scheduleTurn = scheduleTurn;
  }

  add(reader: PacedReader): void {
    this.#readers.set(reader, {
      sliceBytes: MIN_SLICE_BYTES,
      startedRequest: undefined,
    });
    if (this.#held.size > 0) this.#hold(reader);
  }

  remove(reader: PacedReader): void {
    this.#readers.delete(reader);
    this.#new.delete(reader);
    this.#begun.delete(reader);
    this.#held.delete(reader);
  }

  /** Parses what a reader has received, as far as this turn allows. */
  schedule(reader: PacedReader): void {
    if (!this.#readers.has(reader)) return;
    if (this.#new.size + this.#begun.size === 0) {
      while (this.#leftBytes > 0 && isRunnable(reader)) this.#parse(reader);
    }
    if (isRunnable(reader)) this.#enqueue(reader);
    if (this.#leftBytes < MAX_TURN_BYTES - MAX_UNCOUNTED_BYTES) this.#plan();
  }

  /** Bounds what has been received and not parsed; called as more arrives. */
  limitWaiting(): void {
    let waitingBytes = this.#countWaiting();
    if (waitingBytes <= this.#maxWaitingBytes) return;
    for (const reader of [...this.#readers.keys()]) {
      if (waitingBytes <= this.#maxWaitingBytes) return;
      if (reader.wantsBytes || reader.waitingBytes === 0) continue;
      waitingBytes -= reader.waitingBytes;
      reader.evict();
    }
    if (waitingBytes <= this.#maxWaitingBytes) return;
    for (const reader of this.#readers.keys()) this.#hold(reader);
  }

  #countWaiting(): number {
    let bytes = 0;
    for (const { waitingBytes } of this.#readers.keys()) bytes += waitingBytes;
    return bytes;
  }

  #hold(reader: PacedReader): void {
    if (this.#held.has(reader)) return;
    this.#held.add(reader);
    reader.hold();
    this.#plan();
  }

  #enqueue(reader: PacedReader): void {
    const isNew =
      this.#readers.get(reader)?.startedRequest !== reader.requestNumber;
    (isNew ? this.#new : this.#begun).add(reader);
    this.#plan();
  }

  #parse(reader: PacedReader): void {
    const state = this.#readers.get(reader);
    if (!state) return;
    const byteCount = Math.min(
      state.sliceBytes,
      reader.waitingBytes,
      this.#leftBytes,
    );
    this.#leftBytes -= byteCount;
    const partCount = reader.parse(byteCount);
    state.startedRequest = reader.requestNumber;
    const isDense = byteCount < partCount * MIN_MEAN_PART_BYTES;
    state.sliceBytes = isDense
      ? MIN_SLICE_BYTES
      : Math.min(MAX_SLICE_BYTES, 2 * state.sliceBytes);
  }

  #plan(): void {
    if (this.#isTurnScheduled) return;
    this.#isTurnScheduled = true;
    this.#scheduleTurn(() => {
      this.#startTurn();
    });
  }

  #startTurn(): void {
    this.#isTurnScheduled = false;
    this.#leftBytes = MAX_TURN_BYTES;
    while (this.#leftBytes > 0) {
      const queue = this.#new.size > 0 ? this.#new : this.#begun;
      const [reader] = queue;
      if (!reader) break;
      queue.delete(reader);
      if (!isRunnable(reader)) continue;
      this.#parse(reader);
      if (isRunnable(reader)) this.#enqueue(reader);
    }
    this.#releaseHeld();
    if (this.#new.size + this.#begun.size + this.#held.size > 0) this.#plan();
  }

  #releaseHeld(): void {
    if (this.#held.size === 0) return;
    if (this.#countWaiting() > this.#maxWaitingBytes / 2) return;
    for (const reader of [...this.#held].slice(0, RELEASES_PER_TURN)) {
      this.#held.delete(reader);
      reader.release();
    }
  }
}

function isRunnable(reader: PacedReader): boolean {
  return reader.wantsBytes && reader.waitingBytes > 0;
}
