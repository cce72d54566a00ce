import { monotonicMs } from "@jujubeladder/utils";
import { PROMPT_SURVIVAL_MS } from "../decisions/prompt_survival_ms.js";
import type { Placement } from "../decisions/placement.js";
import type { RunnerResponse } from "../model/runner_response.js";
import type { CallerResponse } from "./caller_response.js";
import type { StreamEvent } from "./stream_event.js";
import type { StreamReceiver } from "./stream_receiver.js";

/**
 * One caller's stream across all runs that produce it. The caller receives the
 * first run's head and each event exactly once, in order.
 */
export class StreamSession implements StreamReceiver {
  readonly #response: CallerResponse;
  readonly #tokensPerEvent: number;
  #lastEventId: number | undefined;
  #eventCount = 0;
  #firstEventAtMs: number | undefined;
  #runFirstEventAtMs: number | undefined;
  #hasSurvived = false;
  readonly #onSurvived: (ageMs: number) => void;
  #lastEventAtMs: number | undefined;
  #longestGapMs = 0;
  #head: RunnerResponse | undefined;
  #placement: Placement | undefined;
  #softwareVersion: string | undefined;
  #runSoftwareVersion = "";
  readonly #onBegun: (softwareVersion: string) => void;

  constructor(
    response: CallerResponse,
    options: {
      readonly tokensPerEvent: number;
      readonly lastEventId: number | undefined;
      /** Set for a stream that its caller takes up. */
      readonly softwareVersion: string | undefined;
      /** Called with the first event of the stream. */
      readonly onBegun: (softwareVersion: string) => void;
      /** Called once a run that began `ageMs` ago has survived its prompt. */
      readonly onSurvived: (ageMs: number) => void;
    },
  ) {
    this.#response = response;
    this.#tokensPerEvent = options.tokensPerEvent;
    this.#lastEventId = options.lastEventId;
    this.#softwareVersion = options.softwareVersion;
    this.#onBegun = options.onBegun;
    this.#onSurvived = options.onSurvived;
  }

  /**
   * Id of the last event, after which another run resumes; undefined before
   * the first event with an id, unless the caller resumed from one.
   */
  get lastEventId(): number | undefined {
    return this.#lastEventId;
  }

  /**
   * Version of the software that began the stream, the only one that may go on
   * with it; undefined before the first event.
   */
  get softwareVersion(): string | undefined {
    return this.#softwareVersion;
  }

  /** Number of events sent to the caller. */
  get eventCount(): number {
    return this.#eventCount;
  }

  /** Time of the first event, on the monotonic clock. */
  get firstEventAtMs(): number | undefined {
    return this.#firstEventAtMs;
  }

  /** Time of the latest event, on the monotonic clock. */
  get lastEventAtMs(): number | undefined {
    return this.#lastEventAtMs;
  }

  /** Longest time between two consecutive events. */
  get longestGapMs(): number {
    return this.#longestGapMs;
  }

  /** Time from the current run's first to its last event, if it has any. */
  get writingForMs(): number | undefined {
    return this.#runFirstEventAtMs === undefined
      ? undefined
      : (this.#lastEventAtMs ?? 0) - this.#runFirstEventAtMs;
  }

  /** Begins a run, whose output is recorded on the placement. */
  setPlacement(placement: Placement, softwareVersion: string): void {
    this.#placement = placement;
    this.#runSoftwareVersion = softwareVersion;
    this.#runFirstEventAtMs = undefined;
    this.#hasSurvived = false;
    if (this.#eventCount > 0) this.#recordOutput();
  }

  onStart(head: RunnerResponse): void {
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
    if (this.#eventCount === 0) {
      this.#softwareVersion ??= this.#runSoftwareVersion;
      this.#onBegun(this.#softwareVersion);
    }
    this.#eventCount += 1;
    const nowMs = monotonicMs();
    const gapMs = nowMs - (this.#lastEventAtMs ?? nowMs);
    this.#longestGapMs = Math.max(this.#longestGapMs, gapMs);
    this.#firstEventAtMs ??= nowMs;
    this.#runFirstEventAtMs ??= nowMs;
    this.#lastEventAtMs = nowMs;
    if (nowMs - this.#runFirstEventAtMs >= PROMPT_SURVIVAL_MS)
      this.#recordSurvival(nowMs);
    this.#recordOutput();
    // The head is sent with the first event, so that a run that fails before
    // it can still be retried or answered with an error status.
    this.#sendHeadOnce();
    return this.#response.write(event.bytes) ? "continue" : "pause";
  }

  onDrain(resume: () => void): void {
    this.#response.onDrain(resume);
  }

  /** Ends the response, also of a stream without events. */
  end(): void {
    this.#recordSurvival(monotonicMs());
    this.#sendHeadOnce();
    this.#response.end();
  }

  #recordSurvival(nowMs: number): void {
    if (this.#hasSurvived || this.#runFirstEventAtMs === undefined) return;
    this.#hasSurvived = true;
    this.#onSurvived(nowMs - this.#runFirstEventAtMs);
  }

  #sendHeadOnce(): void {
    if (this.#response.isHeadSent || !this.#head) return;
    const { statusCode, forwardedHeaders } = this.#head;
    this.#response.sendHead(statusCode, forwardedHeaders);
  }

  #recordOutput(): void {
    this.#placement?.recordOutput(this.#eventCount * this.#tokensPerEvent);
  }
}
