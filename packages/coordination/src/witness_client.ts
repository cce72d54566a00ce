import type {
  PeerIdentity,
  SubmissionResult,
  Ticket,
} from "@jujubeladder/types";
import { computeBackoffMs, Deadline, sleep } from "@jujubeladder/utils";
import type { PeerDirectory } from "./peer_directory.js";
import type { ResolveVerdict } from "./resolve_verdict.js";
import type { StartVerdict } from "./start_verdict.js";
import type { Successions } from "./successions.js";
import { toSubmissionResult } from "./to_submission_result.js";
import type { WitnessLedger } from "./witness_ledger.js";

const CALL_TIMEOUT_MS = 1_000;
const RETRY_WINDOW_MS = 3_000;

/** Calls the witness of a ticket, which may be a peer or this instance. */
export class WitnessClient {
  readonly #ledger: WitnessLedger;
  readonly #directory: PeerDirectory;
  readonly #successions: Successions;
  readonly #servesIncarnation: (incarnation: string) => boolean;

  constructor(options: {
    readonly ledger: WitnessLedger;
    readonly directory: PeerDirectory;
    readonly successions: Successions;
    readonly servesIncarnation: (incarnation: string) => boolean;
  }) {
    this.#ledger = options.ledger;
    this.#directory = options.directory;
    this.#successions = options.successions;
    this.#servesIncarnation = options.servesIncarnation;
  }

  /** Records the start of a ticket; undefined if the witness is unreachable. */
  async recordStart(
    ticket: Ticket,
    ownerIncarnation: string,
  ): Promise<StartVerdict | undefined> {
    const { ticketId, expiresAtMs } = ticket;
    return await this.#retry(ticket, async (witness) => {
      if (this.#servesIncarnation(witness.incarnation)) {
        const start = { ownerIncarnation, expiresAtMs };
        return this.#ledger.recordStart(ticketId, start);
      }
      const response = await this.#directory
        .find(witness.instanceId)
        ?.recordStart(
          {
            ticketId,
            ownerIncarnation,
            witnessIncarnation: witness.incarnation,
            expiresAtMs: BigInt(expiresAtMs),
          },
          { timeoutMs: CALL_TIMEOUT_MS },
        );
      return response?.verdict as StartVerdict | undefined;
    });
  }

  /** Stores the result at the witness; returns false if it was not stored. */
  async recordResult(
    ticket: Ticket,
    result: SubmissionResult,
  ): Promise<boolean> {
    const { ticketId } = ticket;
    const isRecorded = await this.#retry(ticket, async (witness) => {
      if (this.#servesIncarnation(witness.incarnation)) {
        return this.#ledger.recordResult(ticketId, result);
      }
      const response = await this.#directory
        .find(witness.instanceId)
        ?.recordResult(
          { ticketId, witnessIncarnation: witness.incarnation, result },
          { timeoutMs: CALL_TIMEOUT_MS },
        );
      return response?.isRecorded;
    });
    return isRecorded ?? false;
  }

  /** Queries the ticket's state; bars the ticket if it has not started. */
  async resolve(ticket: Ticket): Promise<ResolveVerdict> {
    const { ticketId, expiresAtMs } = ticket;
    const verdict = await this.#retry(ticket, async (witness) => {
      if (this.#servesIncarnation(witness.incarnation)) {
        return this.#ledger.resolve(ticketId, expiresAtMs);
      }
      const response = await this.#directory
        .find(witness.instanceId)
        ?.resolveTicket(
          {
            ticketId,
            witnessIncarnation: witness.incarnation,
            expiresAtMs: BigInt(expiresAtMs),
          },
          { timeoutMs: CALL_TIMEOUT_MS },
        );
      return response && toVerdict(response.verdict, response.result);
    });
    return verdict ?? { type: "unreachable" };
  }

  // Repeating any of the three calls changes nothing at the witness, so a call
  // whose response was lost can be retried.
  async #retry<Value>(
    ticket: Ticket,
    call: (witness: PeerIdentity) => Promise<Value | undefined>,
  ): Promise<Value | undefined> {
    const deadline = new Deadline(RETRY_WINDOW_MS);
    for (let attempt = 0; !deadline.hasPassed; attempt += 1) {
      try {
        const value = await call(this.#successions.resolve(ticket.witness));
        if (value !== undefined) return value;
      } catch {
        // The call failed; the deadline limits the retries.
      }
      await sleep(Math.min(computeBackoffMs(attempt), deadline.remainingMs));
    }
    return undefined;
  }
}

function toVerdict(
  verdict: string,
  result: Parameters<typeof toSubmissionResult>[0] | undefined,
): ResolveVerdict {
  switch (verdict) {
    case "result":
      return result
        ? { type: "result", result: toSubmissionResult(result) }
        : { type: "started" };
    case "started":
    case "barred":
    case "expired":
      return { type: verdict };
    default:
      return { type: "unknown_witness" };
  }
}
