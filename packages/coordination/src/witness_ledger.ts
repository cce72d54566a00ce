import type { SubmissionResult } from "@jujubeladder/types";
import type { ResolveVerdict } from "./resolve_verdict.js";
import type { StartVerdict } from "./start_verdict.js";
import type { TicketLimits } from "./ticket_limits.js";
import type { WitnessEntry } from "./witness_entry.js";

/**
 * The submissions that this instance is witness of. A recorded start is
 * never taken back; an unstarted ticket is barred when somebody asks, after
 * which its owner cannot start it.
 */
export class WitnessLedger {
  readonly #limits: TicketLimits;
  readonly #entries = new Map<string, WitnessEntry>();
  #resultBytes = 0;

  constructor(limits: TicketLimits) {
    this.#limits = limits;
  }

  get size(): number {
    return this.#entries.size;
  }

  /** Records that an owner is about to dispatch; repeats are harmless. */
  recordStart(
    ticketId: string,
    options: {
      readonly ownerIncarnation: string;
      readonly expiresAtMs: number;
    },
  ): StartVerdict {
    const known = this.#entries.get(ticketId);
    if (known) {
      const isSameOwner =
        known.state === "started" &&
        known.ownerIncarnation === options.ownerIncarnation;
      return isSameOwner ? "recorded" : "barred";
    }
    if (this.#isForgotten(options.expiresAtMs)) return "expired";
    this.#forgetOld();
    if (this.#isFull()) return "full";
    this.#entries.set(ticketId, { state: "started", ...options });
    return "recorded";
  }

  /** Keeps the outcome of a started ticket. */
  recordResult(ticketId: string, result: SubmissionResult): boolean {
    const known = this.#entries.get(ticketId);
    if (known?.state !== "started") return false;
    const { expiresAtMs } = known;
    this.#entries.set(ticketId, { state: "result", expiresAtMs, result });
    this.#resultBytes += result.body.byteLength;
    return true;
  }

  /** Says what is known, and bars the ticket when nothing has started. */
  resolve(ticketId: string, expiresAtMs: number): ResolveVerdict {
    const known = this.#entries.get(ticketId);
    if (!known) {
      if (this.#isForgotten(expiresAtMs)) return { type: "expired" };
      this.#entries.set(ticketId, { state: "barred", expiresAtMs });
      return { type: "barred" };
    }
    switch (known.state) {
      case "result":
        return { type: "result", result: known.result };
      case "started":
        return { type: "started" };
      case "barred":
        return { type: "barred" };
    }
  }

  exportRecords(): readonly (readonly [string, WitnessEntry])[] {
    return [...this.#entries];
  }

  /** Takes in what a leaving witness knew. */
  importRecord(ticketId: string, entry: WitnessEntry): void {
    if (!this.#entries.has(ticketId)) this.#entries.set(ticketId, entry);
  }

  #isForgotten(expiresAtMs: number): boolean {
    return Date.now() > expiresAtMs + this.#limits.retentionMs;
  }

  #isFull(): boolean {
    return (
      this.#entries.size >= this.#limits.maxEntries ||
      this.#resultBytes >= this.#limits.maxResultBytes
    );
  }

  #forgetOld(): void {
    for (const [ticketId, entry] of this.#entries) {
      if (!this.#isForgotten(entry.expiresAtMs)) return;
      this.#entries.delete(ticketId);
      if (entry.state === "result") {
        this.#resultBytes -= entry.result.body.byteLength;
      }
    }
  }
}
