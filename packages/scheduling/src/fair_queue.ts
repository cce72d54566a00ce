import type { QueueItem } from "./queue_item.js";

const SHORT_REQUEST_WEIGHT = 8;
const STARVATION_AGE_MS = 4_000;

interface Flow<Item> {
  readonly waiting: Item[];
  virtualTime: number;
}

/**
 * Start-time fair queue. Each team has one flow for short and one for long
 * requests, charged by expected tokens divided by its weight, so that busy
 * teams cannot starve others and short requests overtake long ones.
 */
export class FairQueue<Item extends QueueItem> {
  readonly #flows = new Map<string, Flow<Item>>();
  #virtualTime = 0;
  #size = 0;

  get size(): number {
    return this.#size;
  }

  /** Number of queued requests of one team, short and long. */
  teamSize(teamId: string): number {
    return [true, false].reduce((sum, isShort) => {
      const flow = this.#flows.get(flowKey(teamId, isShort));
      return sum + (flow?.waiting.length ?? 0);
    }, 0);
  }

  push(item: Item): void {
    const { teamId, isShort } = item.request;
    const key = flowKey(teamId, isShort);
    const flow = this.#flows.get(key) ?? {
      waiting: [],
      virtualTime: this.#virtualTime,
    };
    flow.virtualTime = Math.max(flow.virtualTime, this.#virtualTime);
    flow.waiting.push(item);
    this.#flows.set(key, flow);
    this.#size += 1;
  }

  /**
   * Offers the head of each flow to `take`, lowest virtual time first, and
   * dequeues it if accepted, until every head has been rejected. Once a
   * rejected long head exceeds STARVATION_AGE_MS, no other long request is
   * offered in this call, so that freed memory goes to the starved one.
   */
  drain(take: (item: Item) => boolean, nowMs: number): void {
    const heldFlows = new Set<Flow<Item>>();
    let isLongBlocked = false;
    for (;;) {
      const flow = this.#nextFlow(heldFlows);
      const head = flow?.waiting[0];
      if (!flow || !head) return;
      const isLong = !head.request.isShort;
      if ((isLong && isLongBlocked) || !take(head)) {
        heldFlows.add(flow);
        isLongBlocked ||= isLong && nowMs - head.queuedAtMs > STARVATION_AGE_MS;
        continue;
      }
      flow.waiting.shift();
      this.#size -= 1;
      this.#virtualTime = Math.max(this.#virtualTime, flow.virtualTime);
      flow.virtualTime += virtualCost(head);
      this.#evictIdleFlows();
    }
  }

  /** Removes and returns all requests that match the predicate. */
  removeWhere(predicate: (item: Item) => boolean): readonly Item[] {
    const removed: Item[] = [];
    for (const flow of this.#flows.values()) {
      for (let index = flow.waiting.length - 1; index >= 0; index -= 1) {
        const item = flow.waiting[index];
        if (!item || !predicate(item)) continue;
        flow.waiting.splice(index, 1);
        removed.push(item);
      }
    }
    this.#size -= removed.length;
    return removed;
  }

  #nextFlow(heldFlows: ReadonlySet<Flow<Item>>): Flow<Item> | undefined {
    let next: Flow<Item> | undefined;
    for (const flow of this.#flows.values()) {
      if (flow.waiting.length === 0 || heldFlows.has(flow)) continue;
      if (!next || flow.virtualTime < next.virtualTime) next = flow;
    }
    return next;
  }

  // Deleting an idle flow at or behind the queue's virtual time does not change
  // the order: `push` would set it to the queue's virtual time anyway.
  #evictIdleFlows(): void {
    for (const [key, flow] of this.#flows) {
      if (flow.waiting.length > 0) continue;
      if (flow.virtualTime <= this.#virtualTime) this.#flows.delete(key);
    }
  }
}

function flowKey(teamId: string, isShort: boolean): string {
  return `${teamId}/${isShort ? "short" : "long"}`;
}

function virtualCost(item: QueueItem): number {
  const classWeight = item.request.isShort ? SHORT_REQUEST_WEIGHT : 1;
  return item.costTokens / (item.request.teamWeight * classWeight);
}
