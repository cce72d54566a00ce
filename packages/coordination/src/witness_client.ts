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
const RECORD_WINDOW_MS = 3_000;

/** Reaches the witness of a ticket, be it a peer or this instance. */
export class WitnessClient {
  readonly #ledger: WitnessLedger;
  readonly #directory: PeerDirectory;
  readonly #successions: Successions;
  readonly #answersFor: (incarnation: string) => boolean;

  constructor(options: {
    readonly ledger: WitnessLedger;
    readonly directory: PeerDirectory;
    readonly successions: Successions;
    readonly answersFor: (incarnation: string) => boolean;
  }) {
    this.#ledger = options.ledger;
    this.#directory = options.directory;
    this.#successions = options.successions;
    this.#answersFor = options.answersFor;
  }

  /** Asks for the start to be recorded; undefined when nobody answers. */
  async recordStart(
    ticket: Ticket,
    ownerIncarnation: string,
  ): Promise<StartVerdict | undefined> {
    const { ticketId, expiresAtMs } = ticket;
    return await this.#retry(ticket, async (witness) => {
      if (this.#answersFor(witness.incarnation)) {
        const start = { ownerIncarnation, expiresAtMs };
        return this.#ledger.recordStart(ticketId, start);
      }
      const answer = await this.#directory
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
      return answer?.verdict as StartVerdict | undefined;
    });
  }

  /** Leaves the result with the witness; false when nobody took it. */
  async recordResult(
    ticket: Ticket,
    result: SubmissionResult,
  ): Promise<boolean> {
    const { ticketId } = ticket;
    const isRecorded = await this.#retry(ticket, async (witness) => {
      if (this.#answersFor(witness.incarnation)) {
        return this.#ledger.recordResult(ticketId, result);
      }
      const answer = await this.#directory
        .find(witness.instanceId)
        ?.recordResult(
          { ticketId, witnessIncarnation: witness.incarnation, result },
          { timeoutMs: CALL_TIMEOUT_MS },
        );
      return answer?.isRecorded;
    });
    return isRecorded ?? false;
  }

  /** Asks what is known; bars the ticket when nothing has started. */
  async resolve(ticket: Ticket): Promise<ResolveVerdict> {
    const { ticketId, expiresAtMs } = ticket;
    const verdict = await this.#retry(ticket, async (witness) => {
      if (this.#answersFor(witness.incarnation)) {
        return this.#ledger.resolve(ticketId, expiresAtMs);
      }
      const answer = await this.#directory
        .find(witness.instanceId)
        ?.resolveTicket(
          {
            ticketId,
            witnessIncarnation: witness.incarnation,
            expiresAtMs: BigInt(expiresAtMs),
          },
          { timeoutMs: CALL_TIMEOUT_MS },
        );
      return answer && toVerdict(answer.verdict, answer.result);
    });
    return verdict ?? { type: "unreachable" };
  }

  // All three calls are idempotent at the witness, so that a lost answer is
  // asked for again.
  async #retry<Value>(
    ticket: Ticket,
    ask: (witness: PeerIdentity) => Promise<Value | undefined>,
  ): Promise<Value | undefined> {
    const deadline = new Deadline(RECORD_WINDOW_MS);
    for (let attempt = 0; !deadline.hasPassed; attempt += 1) {
      try {
        const answer = await ask(this.#successions.resolve(ticket.witness));
        if (answer !== undefined) return answer;
      } catch {
        // The peer could not be reached; the deadline bounds the tries.
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
