import type { SubmissionResult, Ticket } from "@jujubeladder/types";
import { makeResult } from "./make_result.js";
import type { PendingRun } from "./pending_run.js";
import type { TicketLimits } from "./ticket_limits.js";

/**
 * The submissions that this instance owns. Each ticket is run once; every
 * resend joins the same outcome, and `not_run` is as final as a result.
 */
export class OwnerLedger {
  readonly #limits: TicketLimits;
  readonly #runs = new Map<string, PendingRun>();
  #resultBytes = 0;

  constructor(limits: TicketLimits) {
    this.#limits = limits;
  }

  get size(): number {
    return this.#runs.size;
  }

  /** Runs that have no result yet. */
  get activeRuns(): readonly PendingRun[] {
    return [...this.#runs.values()].filter((run) => !run.result);
  }

  /** Runs the ticket, or joins the run that there is. */
  async run(
    ticket: Ticket,
    start: () => Promise<SubmissionResult>,
  ): Promise<SubmissionResult> {
    const known = this.#runs.get(ticket.ticketId);
    if (known) return await known.outcome;
    this.#forgetOld();
    const nowMs = Date.now();
    if (nowMs > ticket.expiresAtMs + this.#limits.retentionMs) {
      return makeResult("may_have_run", "the ticket is no longer remembered");
    }
    if (this.#runs.size >= this.#limits.maxEntries) {
      // Without an entry nothing keeps a crossing resend from running later.
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

  /** Finished runs, for the successor of a leaving instance. */
  exportRecords(): readonly {
    readonly ticketId: string;
    readonly expiresAtMs: number;
    readonly result: SubmissionResult;
  }[] {
    return [...this.#runs].flatMap(([ticketId, { expiresAtMs, result }]) =>
      result ? [{ ticketId, expiresAtMs, result }] : [],
    );
  }

  /** Takes in a finished run of a leaving instance. */
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
  ): PendingRun {
    const run: PendingRun = {
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

  // Insertion order is nearly expiry order, so that a few looks suffice.
  #forgetOld(): void {
    const beforeMs = Date.now() - this.#limits.retentionMs;
    for (const [ticketId, run] of this.#runs) {
      if (run.expiresAtMs > beforeMs || !run.result) return;
      this.#runs.delete(ticketId);
      this.#resultBytes -= run.result.body.byteLength;
    }
  }
}
