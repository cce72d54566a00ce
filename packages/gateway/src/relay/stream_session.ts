import { monotonicMs } from "@jujubeladder/utils";
import type { Placement } from "../decisions/placement.js";
import type { RunnerAnswer } from "../model/runner_answer.js";
import type { CallerAnswer } from "./caller_answer.js";
import type { StreamEvent } from "./stream_event.js";
import type { StreamReceiver } from "./stream_receiver.js";

/**
 * One caller's stream over all runs that produce it. The caller sees the
 * first run's head and each event once, in order.
 */
export class StreamSession implements StreamReceiver {
  readonly #answer: CallerAnswer;
  readonly #tokensPerEvent: number;
  #lastEventId: number | undefined;
  #eventCount = 0;
  #firstEventAtMs: number | undefined;
  #lastEventAtMs: number | undefined;
  #longestGapMs = 0;
  #head: RunnerAnswer | undefined;
  #placement: Placement | undefined;

  constructor(
    answer: CallerAnswer,
    options: {
      readonly tokensPerEvent: number;
      readonly lastEventId: number | undefined;
    },
  ) {
    this.#answer = answer;
    this.#tokensPerEvent = options.tokensPerEvent;
    this.#lastEventId = options.lastEventId;
  }

  /** Where a further run has to go on; undefined before the first event. */
  get lastEventId(): number | undefined {
    return this.#lastEventId;
  }

  get eventCount(): number {
    return this.#eventCount;
  }

  get firstEventAtMs(): number | undefined {
    return this.#firstEventAtMs;
  }

  /** Longest time between two events. */
  get longestGapMs(): number {
    return this.#longestGapMs;
  }

  /** Follows the output with the place that it now runs at. */
  follow(placement: Placement): void {
    this.#placement = placement;
    if (this.#eventCount > 0) this.#noteProduced();
  }

  onStart(head: RunnerAnswer): void {
    this.#head ??= head;
  }

  onEvent(event: StreamEvent): "continue" | "pause" | "out_of_order" {
    const { eventId } = event;
    const last = this.#lastEventId;
    if (eventId !== undefined && last !== undefined) {
      if (eventId <= last) return "continue";
      if (eventId !== last + 1) return "out_of_order";
    }
    if (eventId !== undefined) this.#lastEventId = eventId;
    this.#eventCount += 1;
    const nowMs = monotonicMs();
    const gapMs = nowMs - (this.#lastEventAtMs ?? nowMs);
    this.#longestGapMs = Math.max(this.#longestGapMs, gapMs);
    this.#firstEventAtMs ??= nowMs;
    this.#lastEventAtMs = nowMs;
    this.#noteProduced();
    // The head goes out with the first event, so that a run that breaks
    // before it can still be answered in another way.
    this.#beginOnce();
    return this.#answer.write(event.bytes) ? "continue" : "pause";
  }

  onDrain(resume: () => void): void {
    this.#answer.onDrain(resume);
  }

  /**
   * Ends the answer; a stream may have had no events. False when the last run
   * cannot be told from a broken one, which the caller would take for whole.
   */
  end(lastHead: RunnerAnswer | undefined): boolean {
    const isUnsure = lastHead?.endsWithConnection ?? false;
    if (isUnsure && !this.#head?.endsWithConnection) return false;
    this.#beginOnce();
    this.#answer.end();
    return true;
  }

  #beginOnce(): void {
    if (this.#answer.hasBegun || !this.#head) return;
    const { statusCode, forwardedHeaders } = this.#head;
    this.#answer.begin(statusCode, forwardedHeaders, this.#head);
  }

  #noteProduced(): void {
    this.#placement?.noteProduced(this.#eventCount * this.#tokensPerEvent);
  }
}
