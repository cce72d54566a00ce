import { PartQuarantine } from "../part_quarantine.js";
import type { EventQueue } from "./event_queue.js";

const PUSH_DELAY_MS = 50;
const PUSH_FAN_OUT = 4;
const LIST_LIMIT = 16;
const LARGE_FLEET = 50;

/** Instances of the fleet model, which tell each other their evidence. */
export class ModelGossip {
  readonly instances: readonly PartQuarantine[];
  /** Messages with at least one entry. */
  messageCount = 0;
  readonly #events: EventQueue;
  readonly #random: () => number;
  readonly #willPush = new Set<number>();
  readonly #roundMs: number;

  constructor(count: number, events: EventQueue, random: () => number) {
    this.#events = events;
    this.#random = random;
    this.#roundMs = count > LARGE_FLEET ? 1_000 : 500;
    const readClocks = () => ({
      monotonicMs: events.nowMs,
      wallMs: events.nowMs,
    });
    this.instances = Array.from(
      { length: count },
      () => new PartQuarantine({ readClocks }),
    );
    for (let index = 0; index < count; index += 1)
      events.schedule(random() * this.#roundMs, () => {
        this.#exchange(index);
      });
  }

  /** Pushes an instance's evidence to some peers soon. */
  push(index: number): void {
    if (this.#willPush.has(index)) return;
    this.#willPush.add(index);
    this.#events.schedule(this.#random() * PUSH_DELAY_MS, () => {
      this.#willPush.delete(index);
      for (let n = 0; n < PUSH_FAN_OUT; n += 1)
        this.#send(index, this.#choosePeer(index));
    });
  }

  #exchange(index: number): void {
    const peer = this.#choosePeer(index);
    this.#send(index, peer);
    this.#send(peer, index);
    this.#events.schedule(this.#roundMs, () => {
      this.#exchange(index);
    });
  }

  #send(from: number, to: number): void {
    const entries = this.instances[from]?.list(LIST_LIMIT) ?? [];
    if (entries.length === 0) return;
    this.messageCount += 1;
    this.#events.schedule(5 + this.#random() * 75, () => {
      if (this.instances[to]?.merge(entries)) this.push(to);
    });
  }

  #choosePeer(index: number): number {
    const others = this.instances.length - 1;
    const step = 1 + Math.floor(this.#random() * others);
    return (index + step) % this.instances.length;
  }
}
