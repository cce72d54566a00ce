import { FairQueue, type QueueItem } from "@jujubeladder/scheduling";

/**
 * A fair queue for each service, so that requests of one service never wait
 * behind those of another that has no room.
 */
export class ServiceQueues<Item extends QueueItem> {
  readonly #queues = new Map<string, FairQueue<Item>>();

  /** Number of queued requests of all services. */
  get size(): number {
    let size = 0;
    for (const queue of this.#queues.values()) size += queue.size;
    return size;
  }

  sizeOf(serviceId: string): number {
    return this.#queues.get(serviceId)?.size ?? 0;
  }

  push(serviceId: string, item: Item): void {
    const queue = this.#queues.get(serviceId) ?? new FairQueue<Item>();
    this.#queues.set(serviceId, queue);
    queue.push(item);
  }

  /** Removes and returns all requests that match the predicate. */
  removeWhere(predicate: (item: Item) => boolean): readonly Item[] {
    const removed: Item[] = [];
    for (const [serviceId, queue] of this.#queues) {
      removed.push(...queue.removeWhere(predicate));
      // Services come and go with the configuration.
      if (queue.size === 0) this.#queues.delete(serviceId);
    }
    return removed;
  }

  /** Offers the heads of each queue to `take`; see `FairQueue.drain`. */
  drain(take: (item: Item) => boolean, nowMs: number): void {
    for (const queue of this.#queues.values()) queue.drain(take, nowMs);
  }
}
