import { createRequire, syncBuiltinESMExports } from "node:module";

const timersPromises = createRequire(import.meta.url)(
  "node:timers/promises",
) as { setTimeout: unknown };

interface Task {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
  isCancelled: boolean;
}

/**
 * Replaces timers and clocks, so that loops which sleep run as fast as they can
 * be computed, and in the same order each time.
 */
export class VirtualTime {
  readonly #originals = {
    setTimeout: globalThis.setTimeout,
    clearTimeout: globalThis.clearTimeout,
    setInterval: globalThis.setInterval,
    clearInterval: globalThis.clearInterval,
    now: performance.now,
    dateNow: Date.now,
    sleep: timersPromises.setTimeout,
  };
  readonly #heap: Task[] = [];
  #order = 0;
  #nowMs = 0;

  get nowMs(): number {
    return this.#nowMs;
  }

  install(): void {
    const wallStartMs = Date.now();
    performance.now = () => this.#nowMs;
    Date.now = () => wallStartMs + this.#nowMs;
    const patched = globalThis as unknown as Record<string, unknown>;
    patched["setTimeout"] = (run: () => void, delayMs = 0) =>
      this.#schedule(run, delayMs);
    patched["setInterval"] = (run: () => void, delayMs: number) =>
      this.#repeat(run, delayMs);
    const cancel = (task?: Task) => {
      if (task) task.isCancelled = true;
    };
    patched["clearTimeout"] = cancel;
    patched["clearInterval"] = cancel;
    timersPromises.setTimeout = async (
      delayMs: number,
      value: unknown,
      options?: { readonly signal?: AbortSignal },
    ) => this.#sleep(delayMs, value, options?.signal);
    syncBuiltinESMExports();
  }

  uninstall(): void {
    const { now, dateNow, sleep, ...timers } = this.#originals;
    Object.assign(globalThis, timers);
    performance.now = now;
    Date.now = dateNow;
    timersPromises.setTimeout = sleep;
    syncBuiltinESMExports();
  }

  /** Runs what is due until then; what was awaited runs before the next task. */
  async runUntil(endMs: number): Promise<void> {
    for (;;) {
      await new Promise((resolve) => setImmediate(resolve));
      const task = this.#heap[0];
      if (!task || task.atMs > endMs) break;
      this.#removeFirst();
      if (task.isCancelled) continue;
      this.#nowMs = Math.max(this.#nowMs, task.atMs);
      task.run();
    }
    this.#nowMs = endMs;
  }

  async #sleep(
    delayMs: number,
    value: unknown,
    signal: AbortSignal | undefined,
  ): Promise<unknown> {
    return new Promise((resolve, reject) => {
      if (signal?.aborted) {
        reject(new Error("aborted"));
        return;
      }
      const onAbort = () => {
        task.isCancelled = true;
        reject(new Error("aborted"));
      };
      const task = this.#schedule(() => {
        signal?.removeEventListener("abort", onAbort);
        resolve(value);
      }, delayMs);
      signal?.addEventListener("abort", onAbort, { once: true });
    });
  }

  #repeat(run: () => void, delayMs: number): Task {
    const first: Task = this.#schedule(() => {
      run();
      // The handle that the caller holds is the first task's.
      if (!first.isCancelled) again();
    }, delayMs);
    const again = () => {
      this.#schedule(() => {
        if (first.isCancelled) return;
        run();
        if (!first.isCancelled) again();
      }, delayMs);
    };
    return first;
  }

  #schedule(run: () => void, delayMs: number): Task {
    const delay = Number.isFinite(delayMs) ? Math.max(0, delayMs) : 0;
    const task: Task = {
      atMs: this.#nowMs + delay,
      order: (this.#order += 1),
      run,
      isCancelled: false,
    };
    const heap = this.#heap;
    let index = heap.push(task) - 1;
    while (index > 0) {
      const parent = heap[(index - 1) >> 1];
      if (!parent || !isBefore(task, parent)) break;
      heap[index] = parent;
      index = (index - 1) >> 1;
    }
    heap[index] = task;
    return task;
  }

  #removeFirst(): void {
    const heap = this.#heap;
    const last = heap.pop();
    if (!last || heap.length === 0) return;
    let index = 0;
    for (;;) {
      const left = heap[2 * index + 1];
      const right = heap[2 * index + 2];
      if (!left) break;
      const isRight = right !== undefined && isBefore(right, left);
      const child = isRight ? right : left;
      if (!isBefore(child, last)) break;
      heap[index] = child;
      index = 2 * index + (isRight ? 2 : 1);
    }
    heap[index] = last;
  }
}

function isBefore(a: Task, b: Task): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}
