import type { QueueItem } from "./queue_item.js";

const SHORT_CLASS_WEIGHT = 8;
const STARVATION_MS = 4_000;

interface Flow<Item> {
  readonly waiting: Item[];
  virtualTime: number;
}

/**
 * Start-time fair queue over flows. A flow is one team's short or long
 * requests; it is charged by expected tokens over its weight, so that large
 * teams cannot starve small ones and short requests pass long ones.
 */
export class FairQueue<Item extends QueueItem> {
  readonly #flows = new Map<string, Flow<Item>>();
  #virtualTime = 0;
  #size = 0;

  get size(): number {
    return this.#size;
  }

  /** Requests of one team that wait, short and long. */
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
   * Offers the head of each flow, fairest first, until all are held. A head
   * that is taken leaves the queue. Once a long head has starved, no other
   * long request may pass it.
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
        isLongBlocked ||= isLong && nowMs - head.queuedAtMs > STARVATION_MS;
        continue;
      }
      flow.waiting.shift();
      this.#size -= 1;
      this.#virtualTime = Math.max(this.#virtualTime, flow.virtualTime);
      flow.virtualTime += charge(head);
      this.#forgetIdle();
    }
  }

  /** Takes out every request for which the predicate holds. */
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

  // An idle flow whose time has been passed would start level anyway.
  #forgetIdle(): void {
    for (const [key, flow] of this.#flows) {
      if (flow.waiting.length > 0) continue;
      if (flow.virtualTime <= this.#virtualTime) this.#flows.delete(key);
    }
  }
}

function flowKey(teamId: string, isShort: boolean): string {
  return `${teamId}/${isShort ? "short" : "long"}`;
}

function charge(item: QueueItem): number {
  const classWeight = item.request.isShort ? SHORT_CLASS_WEIGHT : 1;
  return item.costTokens / (item.request.teamWeight * classWeight);
}
