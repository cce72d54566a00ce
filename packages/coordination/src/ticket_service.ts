import { Code, ConnectError } from "@connectrpc/connect";
import type { Logger } from "@jujubeladder/logger";
import type {
  PeerIdentity,
  Result,
  SubmissionResult,
  Ticket,
} from "@jujubeladder/types";
import {
  createId,
  Deadline,
  describeError,
  sleep,
  type SealBox,
} from "@jujubeladder/utils";
import { makeResult } from "./make_result.js";
import type { Membership } from "./membership.js";
import type { OwnerLedger } from "./owner_ledger.js";
import type { PeerDirectory } from "./peer_directory.js";
import type { SubmissionBody } from "./submission_body.js";
import type { Successions } from "./successions.js";
import type { TicketLimits } from "./ticket_limits.js";
import { ticketSchema } from "./ticket_schema.js";
import { toSubmissionResult } from "./to_submission_result.js";
import type { WitnessClient } from "./witness_client.js";

const FORWARD_TIMEOUT_MS = 120_000;
const RESULT_WAIT_MS = 5_000;
const RESULT_POLL_INTERVAL_MS = 250;

/** Dispatches a submission to a runner at most once. */
type Dispatch = (
  ticket: Ticket,
  body: SubmissionBody,
) => Promise<SubmissionResult>;

/** Reason for rejecting a sealed ticket. */
type TicketError = "forged" | "wrong_team";

/**
 * Runs non-idempotent submissions at most once. A ticket names its owner, the
 * only instance that may run it, and its witness, which must record the start
 * before the owner dispatches.
 */
export class TicketService {
  readonly #identity: PeerIdentity;
  readonly #limits: TicketLimits;
  readonly #sealBox: SealBox;
  readonly #membership: Membership;
  readonly #directory: PeerDirectory;
  readonly #successions: Successions;
  readonly #ledger: OwnerLedger;
  readonly #witness: WitnessClient;
  readonly #dispatch: Dispatch;
  readonly #servesIncarnation: (incarnation: string) => boolean;
  readonly #logger: Logger;

  constructor(options: {
    readonly identity: PeerIdentity;
    readonly limits: TicketLimits;
    readonly sealBox: SealBox;
    readonly membership: Membership;
    readonly directory: PeerDirectory;
    readonly successions: Successions;
    readonly ledger: OwnerLedger;
    readonly witness: WitnessClient;
    readonly dispatch: Dispatch;
    readonly servesIncarnation: (incarnation: string) => boolean;
    readonly logger: Logger;
  }) {
    this.#identity = options.identity;
    this.#limits = options.limits;
    this.#sealBox = options.sealBox;
    this.#membership = options.membership;
    this.#directory = options.directory;
    this.#successions = options.successions;
    this.#ledger = options.ledger;
    this.#witness = options.witness;
    this.#dispatch = options.dispatch;
    this.#servesIncarnation = options.servesIncarnation;
    this.#logger = options.logger;
  }

  /** Issues a sealed ticket; no state is stored until it is submitted. */
  mint(request: Pick<Ticket, "serviceId" | "teamId" | "method" | "path">): {
    readonly sealed: string;
    readonly expiresAtMs: number;
  } {
    const owner = this.#chooseOwner();
    const ticket: Ticket = {
      ...request,
      ticketId: createId(),
      owner,
      witness: this.#chooseWitness(owner),
      expiresAtMs: Date.now() + this.#limits.ticketTtlMs,
    };
    this.#logger.info("ticket_minted", {
      ticket: ticket.ticketId,
      team: ticket.teamId,
      service: ticket.serviceId,
      owner: ticket.owner.instanceId,
      witness: ticket.witness.instanceId,
    });
    const { expiresAtMs } = ticket;
    return { sealed: this.#sealBox.seal(ticket), expiresAtMs };
  }

  /**
   * Unseals a ticket. Fails with `forged` if it cannot be opened or parsed, and
   * with `wrong_team` if it was issued to another team.
   */
  open(sealed: string, teamId: string): Result<Ticket, TicketError> {
    const parsed = ticketSchema.safeParse(this.#sealBox.open(sealed));
    if (!parsed.success) return { ok: false, error: "forged" };
    return parsed.data.teamId === teamId
      ? { ok: true, value: parsed.data }
      : { ok: false, error: "wrong_team" };
  }

  /**
   * Runs a ticket here or at its owner, or resolves it at its witness. The
   * outcome is `may_have_run` if it cannot be determined.
   */
  async run(
    ticket: Ticket,
    sealed: string,
    body: SubmissionBody,
  ): Promise<SubmissionResult> {
    const owner = this.#successions.resolve(ticket.owner);
    const result = this.#servesIncarnation(owner.incarnation)
      ? await this.#runAsOwner(ticket, body)
      : ((await this.#forward(owner, sealed, body)) ??
        (await this.#resolveAtWitness(ticket)));
    this.#logger.info("ticket_answered", {
      ticket: ticket.ticketId,
      owner: owner.instanceId,
      outcome: result.outcome,
      status: result.statusCode,
      reason: result.reason,
    });
    return result;
  }

  /**
   * Runs a ticket for a peer. A ticket that this instance has handed off is
   * forwarded to its successor. Undefined if there is no result, for example
   * because the ticket has another owner.
   */
  async runForPeer(
    sealed: string,
    body: SubmissionBody,
  ): Promise<SubmissionResult | undefined> {
    const parsed = ticketSchema.safeParse(this.#sealBox.open(sealed));
    if (!parsed.success) return undefined;
    const ticket = parsed.data;
    const owner = this.#successions.resolve(ticket.owner);
    if (this.#servesIncarnation(owner.incarnation)) {
      return await this.#runAsOwner(ticket, body);
    }
    const isOwnTicket = ticket.owner.instanceId === this.#identity.instanceId;
    return isOwnTicket ? await this.#forward(owner, sealed, body) : undefined;
  }

  async #runAsOwner(
    ticket: Ticket,
    body: SubmissionBody,
  ): Promise<SubmissionResult> {
    return await this.#ledger.run(ticket, async () => {
      const verdict = await this.#witness.recordStart(
        ticket,
        this.#identity.incarnation,
      );
      if (verdict === "started") {
        return makeResult("may_have_run", "another owner has started it");
      }
      if (verdict !== "recorded") {
        const reason = `the witness did not record the start: ${verdict}`;
        return makeResult("not_run", reason);
      }
      const result = await this.#dispatch(ticket, body);
      const isWitnessed = await this.#witness.recordResult(ticket, result);
      this.#logger.info("ticket_run", {
        ticket: ticket.ticketId,
        outcome: result.outcome,
        is_witnessed: isWitnessed,
      });
      return result;
    });
  }

  // Undefined means that the owner gave no result; the ticket may have run.
  async #forward(
    owner: PeerIdentity,
    sealed: string,
    body: SubmissionBody,
  ): Promise<SubmissionResult | undefined> {
    // The owner is an incarnation of this instance that is no longer served and
    // has no known successor, as after a crash. Forwarding would make this
    // instance call itself.
    if (owner.instanceId === this.#identity.instanceId) return undefined;
    const client = this.#directory.find(owner.instanceId);
    if (!client) return undefined;
    try {
      const response = await client.runTicket(
        {
          ticket: sealed,
          body: body.bytes,
          contentType: body.contentType,
          ownerIncarnation: owner.incarnation,
        },
        { timeoutMs: FORWARD_TIMEOUT_MS },
      );
      return response.result && toSubmissionResult(response.result);
    } catch (error) {
      this.#logger.warn("ticket_forward_failed", {
        owner: owner.instanceId,
        code: Code[ConnectError.from(error).code],
        reason: describeError(error),
      });
      return undefined;
    }
  }

  async #resolveAtWitness(ticket: Ticket): Promise<SubmissionResult> {
    const deadline = new Deadline(RESULT_WAIT_MS);
    for (;;) {
      const verdict = await this.#witness.resolve(ticket);
      switch (verdict.type) {
        case "result":
          return verdict.result;
        case "barred":
          return makeResult("not_run", "the owner is gone and had not started");
        case "started":
          if (deadline.hasPassed) {
            return makeResult("may_have_run", "the owner started it");
          }
          await sleep(RESULT_POLL_INTERVAL_MS);
          continue;
        case "unknown_witness":
        case "expired":
        case "unreachable":
          return makeResult(
            "may_have_run",
            `the owner is unreachable, the witness is ${verdict.type}`,
          );
      }
    }
  }

  // A leaving instance names a peer as owner, since it may be gone itself by
  // the time the ticket is submitted.
  #chooseOwner(): PeerIdentity {
    if (!this.#membership.isLeaving) return this.#identity;
    const peer = this.#membership.listAlive().find((p) => !p.isLeaving);
    if (!peer) return this.#identity;
    return { instanceId: peer.instanceId, incarnation: peer.incarnation };
  }

  // Prefers a peer in another zone of this instance's region; the owner is its
  // own witness if no peer is available.
  #chooseWitness(owner: PeerIdentity): PeerIdentity {
    const candidates = this.#membership
      .listAlive()
      .filter((p) => !p.isLeaving && p.instanceId !== owner.instanceId);
    const [nearest] = candidates;
    if (!nearest) return owner;
    const ownZone = this.#membership.availabilityZone;
    const inOtherZone = candidates.find(
      (peer) =>
        peer.availabilityZone !== ownZone &&
        this.#membership.isInSameRegion(peer.instanceId),
    );
    const { instanceId, incarnation } = inOtherZone ?? nearest;
    return { instanceId, incarnation };
  }
}
