import type { SubmissionResult, Ticket } from "@jujubeladder/types";
import { makeResult } from "./make_result.js";
import type { SubmissionRun } from "./submission_run.js";
import type { TicketLimits } from "./ticket_limits.js";

/**
 * Records of the submissions owned by this instance. Each ticket is run at most
 * once: a retried submission gets the outcome of the first one, and `not_run`
 * is as final as any other outcome.
 */
export class OwnerLedger {
  readonly #limits: TicketLimits;
  readonly #runs = new Map<string, SubmissionRun>();
  #resultBytes = 0;

  constructor(limits: TicketLimits) {
    this.#limits = limits;
  }

  get size(): number {
    return this.#runs.size;
  }

  /** Runs still in progress. */
  get activeRuns(): readonly SubmissionRun[] {
    return [...this.#runs.values()].filter((run) => !run.result);
  }

  /** Runs the ticket, or returns the outcome of its existing run. */
  async run(
    ticket: Ticket,
    start: () => Promise<SubmissionResult>,
  ): Promise<SubmissionResult> {
    const known = this.#runs.get(ticket.ticketId);
    if (known) return await known.outcome;
    this.#evictExpired();
    const nowMs = Date.now();
    if (nowMs > ticket.expiresAtMs + this.#limits.retentionMs) {
      return makeResult("may_have_run", "the ticket is no longer remembered");
    }
    if (this.#runs.size >= this.#limits.maxEntries) {
      // Not `not_run`: without a record, a concurrent retry could still run.
      return makeResult("may_have_run", "the instance holds too many tickets");
    }
    const isExpired = nowMs > ticket.expiresAtMs;
    const isFull = this.#resultBytes >= this.#limits.maxResultBytes;
    const refusal = isExpired
      ? makeResult("not_run", "the ticket has expired")
      : isFull
        ? makeResult("not_run", "the instance holds too many results")
        : undefined;
    return await this.#add(ticket, refusal, start).outcome;
  }

  /** Returns completed runs, to hand off when this instance leaves. */
  exportRecords(): readonly {
    readonly ticketId: string;
    readonly expiresAtMs: number;
    readonly result: SubmissionResult;
  }[] {
    return [...this.#runs].flatMap(([ticketId, { expiresAtMs, result }]) =>
      result ? [{ ticketId, expiresAtMs, result }] : [],
    );
  }

  /** Adds a completed run handed off by a leaving instance. */
  importRecord(
    ticketId: string,
    expiresAtMs: number,
    result: SubmissionResult,
  ): void {
    if (this.#runs.has(ticketId)) return;
    const outcome = Promise.resolve(result);
    this.#runs.set(ticketId, { expiresAtMs, outcome, result });
    this.#resultBytes += result.body.byteLength;
  }

  #add(
    ticket: Ticket,
    refusal: SubmissionResult | undefined,
    start: () => Promise<SubmissionResult>,
  ): SubmissionRun {
    const run: SubmissionRun = {
      expiresAtMs: ticket.expiresAtMs,
      outcome: refusal ? Promise.resolve(refusal) : start(),
      result: refusal,
    };
    this.#runs.set(ticket.ticketId, run);
    void run.outcome.then((result) => {
      run.result = result;
      this.#resultBytes += result.body.byteLength;
    });
    return run;
  }

  // Insertion order is close to expiry order, so the scan stops at the first
  // record to keep.
  #evictExpired(): void {
    const beforeMs = Date.now() - this.#limits.retentionMs;
    for (const [ticketId, run] of this.#runs) {
      if (run.expiresAtMs > beforeMs || !run.result) return;
      this.#runs.delete(ticketId);
      this.#resultBytes -= run.result.body.byteLength;
    }
  }
}
