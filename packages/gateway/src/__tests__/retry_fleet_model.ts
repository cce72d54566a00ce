import { createSeededRandom } from "@jujubeladder/standins";
import type { RetryBooking } from "../decisions/retry_booking.js";
import { ModelClock } from "./model_clock.js";
import { ModelEngines } from "./model_engines.js";
import { ModelRetryFleet } from "./model_retry_fleet.js";
import type { ModelRetryInstance } from "./model_retry_instance.js";
import type { RetryDay } from "./retry_day.js";
import type { RetryDesign } from "./retry_design.js";

const MAX_SENDS = 5;
const MAX_FAILURE_DELAY_MS = 300;
/** Some retries wait for capacity. */
const WAIT_RATIO = 0.3;
const MAX_WAIT_MS = 1_400;
const MIN_STREAM_MS = 1_000;
const MAX_STREAM_MS = 4_000;
const RESEND_RATIO = 0.5;
const RESEND_DELAY_MS = 100;
/** From the notice of an engine to its exit, and to the stop orders. */
const NOTICE_MS = 2_000;
const STOP_AT_MS = 1_700;
/** From the notice until the first copy of a run is there. */
const COPY_MS = 300;
const BOOK_INTERVAL_MS = 100;
const MAX_RESUME_DELAY_MS = 200;

interface Stream {
  readonly instance: ModelRetryInstance;
  engine: number;
  isAtWork: boolean;
}

/** A fleet's retry budgets, its requests and its engines, without a network. */
export class RetryFleetModel {
  readonly requestsAtMs: number[] = [];
  readonly repeatsAtMs: number[] = [];
  resumed = 0;
  lost = 0;
  /** Resumptions that were lost while the fleet as a whole had budget left. */
  lostWithFleetLeft = 0;
  refusedRetries = 0;
  readonly #clock = new ModelClock();
  readonly #random: () => number;
  readonly #day: RetryDay;
  readonly #design: RetryDesign;
  readonly #fleet: ModelRetryFleet;
  readonly #streams = new Set<Stream>();
  readonly #engines: ModelEngines;

  constructor(day: RetryDay, design: RetryDesign, seed: number) {
    this.#day = day;
    this.#design = design;
    this.#random = createSeededRandom(seed);
    this.#engines = new ModelEngines(day.engineCount, this.#random);
    const { clock, random } = { clock: this.#clock, random: this.#random };
    this.#fleet = new ModelRetryFleet(day, { design, clock, random });
  }

  run(): void {
    const { notices, restarts, sizes, durationMs } = this.#day;
    for (const { atMs, share } of notices)
      this.#clock.schedule(atMs, () => this.#giveNotice(share));
    for (const { atMs, share, kind } of restarts)
      this.#clock.schedule(atMs, () => this.#fleet.restart(share, kind));
    for (const { atMs, factor } of sizes)
      this.#clock.schedule(atMs, () => this.#fleet.resize(factor));
    this.#awaitRequest();
    this.#clock.run(durationMs);
  }

  #awaitRequest(): void {
    const meanMs = 1_000 / this.#day.requestsPerSecond;
    this.#clock.schedule(-Math.log(1 - this.#random()) * meanMs, () => {
      this.#sendRequest();
      this.#awaitRequest();
    });
  }

  #sendRequest(): void {
    const instance = this.#fleet.pick();
    this.requestsAtMs.push(this.#clock.nowMs);
    if (!instance) return;
    instance.recordRequest();
    this.#attempt(instance, 1);
  }

  #attempt(instance: ModelRetryInstance, sendCount: number): void {
    const { nowMs } = this.#clock;
    const failure = this.#day.failures.find(
      ({ fromMs, toMs }) => nowMs >= fromMs && nowMs < toMs,
    );
    if (this.#random() >= (failure?.ratio ?? 0)) {
      this.#runStream(instance);
      return;
    }
    this.#clock.schedule(this.#random() * MAX_FAILURE_DELAY_MS, () => {
      if (!instance.isAlive || sendCount >= MAX_SENDS) return;
      const booking = instance.book("retry");
      if (!booking) {
        this.refusedRetries += 1;
        if (this.#random() < RESEND_RATIO)
          this.#clock.schedule(RESEND_DELAY_MS, () => this.#sendRequest());
        return;
      }
      const isWaiting = this.#random() < WAIT_RATIO;
      const waitMs = isWaiting ? this.#random() * MAX_WAIT_MS : 0;
      this.#repeat(instance, booking, waitMs, () =>
        this.#attempt(instance, sendCount + 1),
      );
    });
  }

  #repeat(
    instance: ModelRetryInstance,
    booking: RetryBooking,
    delayMs: number,
    next: () => void,
  ): void {
    this.#clock.schedule(delayMs, () => {
      if (!instance.isAlive) return;
      booking.recordSent();
      this.repeatsAtMs.push(this.#clock.nowMs);
      next();
    });
  }

  #runStream(instance: ModelRetryInstance): void {
    const stream = { instance, engine: this.#engines.pick(), isAtWork: true };
    this.#streams.add(stream);
    const spanMs = MAX_STREAM_MS - MIN_STREAM_MS;
    this.#clock.schedule(MIN_STREAM_MS + this.#random() * spanMs, () => {
      stream.isAtWork = false;
      this.#streams.delete(stream);
    });
  }

  #giveNotice(share: number): void {
    const engines = this.#engines.leave(share);
    this.#clock.schedule(NOTICE_MS + 1, () => {
      this.#engines.replace(engines);
    });
    for (const stream of this.#streams) {
      if (!engines.has(stream.engine)) continue;
      const exitAtMs = this.#clock.nowMs + NOTICE_MS;
      if (this.#design === "reserve, early")
        this.#clock.schedule(COPY_MS, () => this.#bookEarly(stream, exitAtMs));
      else {
        this.#clock.schedule(STOP_AT_MS, () => {
          if (this.#resume(stream)) return;
          this.#clock.schedule(NOTICE_MS - STOP_AT_MS, () => {
            if (!this.#resume(stream)) this.#lose(stream);
          });
        });
      }
    }
  }

  // Books as soon as the run can be moved, and asks again until its engine exits.
  #bookEarly(stream: Stream, exitAtMs: number): void {
    if (!this.#isAtWork(stream)) return;
    const { nowMs } = this.#clock;
    const booking = stream.instance.book("resumption");
    const stopAtMs = exitAtMs - NOTICE_MS + STOP_AT_MS;
    if (booking)
      this.#clock.schedule(stopAtMs - nowMs, () => {
        this.#resumeWith(stream, booking);
      });
    else if (nowMs >= exitAtMs) this.#lose(stream);
    else
      this.#clock.schedule(BOOK_INTERVAL_MS, () => {
        this.#bookEarly(stream, exitAtMs);
      });
  }

  #lose(stream: Stream): void {
    this.lost += 1;
    if (this.#fleet.hasBudgetLeft) this.lostWithFleetLeft += 1;
    this.#streams.delete(stream);
  }

  #isAtWork(stream: Stream): boolean {
    return stream.isAtWork && stream.instance.isAlive;
  }

  #resume(stream: Stream): boolean {
    if (!this.#isAtWork(stream)) return true;
    const booking = stream.instance.book("resumption");
    if (booking) this.#resumeWith(stream, booking);
    return booking !== undefined;
  }

  #resumeWith(stream: Stream, booking: RetryBooking): void {
    if (!this.#isAtWork(stream)) {
      booking.release();
      return;
    }
    const delayMs = this.#random() * MAX_RESUME_DELAY_MS;
    stream.engine = this.#engines.pick();
    this.#repeat(stream.instance, booking, delayMs, () => {
      this.resumed += 1;
    });
  }
}
