interface Event {
  readonly atMs: number;
  readonly run: () => void;
}

/** Runs events in the order of their time; a binary heap. */
export class EventQueue {
  readonly #heap: Event[] = [];
  #nowMs = 0;

  get nowMs(): number {
    return this.#nowMs;
  }

  schedule(delayMs: number, run: () => void): void {
    const heap = this.#heap;
    const event = { atMs: this.#nowMs + delayMs, run };
    let index = heap.push(event) - 1;
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = heap[parentIndex];
      if (!parent || parent.atMs <= event.atMs) break;
      heap[index] = parent;
      index = parentIndex;
    }
    heap[index] = event;
  }

  runUntil(endMs: number): void {
    for (;;) {
      const next = this.#heap[0];
      if (!next || next.atMs > endMs) return;
      this.#removeFirst();
      this.#nowMs = next.atMs;
      next.run();
    }
  }

  #removeFirst(): void {
    const heap = this.#heap;
    const last = heap.pop();
    if (!last || heap.length === 0) return;
    let index = 0;
    for (;;) {
      const leftIndex = 2 * index + 1;
      const left = heap[leftIndex];
      if (!left) break;
      const right = heap[leftIndex + 1];
      const isRight = right !== undefined && right.atMs < left.atMs;
      const child = isRight ? right : left;
      if (child.atMs >= last.atMs) break;
      heap[index] = child;
      index = isRight ? leftIndex + 1 : leftIndex;
    }
    heap[index] = last;
  }
}
