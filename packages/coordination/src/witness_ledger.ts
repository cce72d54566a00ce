import type { SubmissionResult } from "@jujubeladder/types";
import type { ResolveVerdict } from "./resolve_verdict.js";
import type { StartVerdict } from "./start_verdict.js";
import type { TicketLimits } from "./ticket_limits.js";
import type { WitnessEntry } from "./witness_entry.js";

/**
 * Records of the submissions that this instance is the witness of. A recorded
 * start is never revoked. Resolving a ticket that has not started bars it:
 * its owner can no longer start it.
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

  /** Records that an owner is about to dispatch a ticket; idempotent. */
  recordStart(
    ticketId: string,
    options: {
      readonly ownerIncarnation: string;
      readonly expiresAtMs: number;
    },
  ): StartVerdict {
    const known = this.#entries.get(ticketId);
    if (known) {
      if (known.state === "barred") return "barred";
      const isSameOwner =
        known.state === "started" &&
        known.ownerIncarnation === options.ownerIncarnation;
      return isSameOwner ? "recorded" : "started";
    }
    if (this.#isPastRetention(options.expiresAtMs)) return "expired";
    this.#evictExpired();
    if (this.#isFull()) return "full";
    this.#entries.set(ticketId, { state: "started", ...options });
    return "recorded";
  }

  /** Stores the result of a started ticket; false in any other state. */
  recordResult(ticketId: string, result: SubmissionResult): boolean {
    const known = this.#entries.get(ticketId);
    if (known?.state !== "started") return false;
    const { expiresAtMs } = known;
    this.#entries.set(ticketId, { state: "result", expiresAtMs, result });
    this.#resultBytes += result.body.byteLength;
    return true;
  }

  /** Returns the ticket's state; bars the ticket if it has not started. */
  resolve(ticketId: string, expiresAtMs: number): ResolveVerdict {
    const known = this.#entries.get(ticketId);
    if (!known) {
      if (this.#isPastRetention(expiresAtMs)) return { type: "expired" };
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

  /** Adds an entry handed off by a leaving witness. */
  importRecord(ticketId: string, entry: WitnessEntry): void {
    if (!this.#entries.has(ticketId)) this.#entries.set(ticketId, entry);
  }

  #isPastRetention(expiresAtMs: number): boolean {
    return Date.now() > expiresAtMs + this.#limits.retentionMs;
  }

  #isFull(): boolean {
    return (
      this.#entries.size >= this.#limits.maxEntries ||
      this.#resultBytes >= this.#limits.maxResultBytes
    );
  }

  #evictExpired(): void {
    for (const [ticketId, entry] of this.#entries) {
      if (!this.#isPastRetention(entry.expiresAtMs)) return;
      this.#entries.delete(ticketId);
      if (entry.state === "result") {
        this.#resultBytes -= entry.result.body.byteLength;
      }
    }
  }
}
