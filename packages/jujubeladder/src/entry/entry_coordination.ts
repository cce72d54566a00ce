import {
  createPeerService,
  DEFAULT_TICKET_LIMITS,
  Handoff,
  Membership,
  OwnerLedger,
  PeerDirectory,
  TicketService,
  WitnessClient,
  WitnessLedger,
} from "@jujubeladder/coordination";
import type { Logger } from "@jujubeladder/logger";
import type { SubmissionResult, Ticket } from "@jujubeladder/types";
import { SealBox } from "@jujubeladder/utils";
import type { EntrySettings } from "../settings/entry_settings.js";
import type { EntryViews } from "./entry_views.js";

const TICKET_PURPOSE = "ticket";

/** Dispatches a submission to a runner, at most once. */
type Dispatch = (
  ticket: Ticket,
  body: { readonly bytes: Uint8Array; readonly contentType: string },
) => Promise<SubmissionResult>;

/** Creates and connects the components that coordinate with peers. */
export class EntryCoordination {
  /** Incarnations served by this process, its own and inherited ones. */
  readonly incarnations: Set<string>;
  readonly directory: PeerDirectory;
  readonly membership: Membership;
  readonly owner: OwnerLedger;
  readonly witness: WitnessLedger;
  readonly tickets: TicketService;
  readonly handoff: Handoff;
  /** Implementation of the peer protocol. */
  readonly peerService: ReturnType<typeof createPeerService>;

  constructor(
    settings: EntrySettings,
    views: EntryViews,
    options: { readonly logger: Logger; readonly dispatch: Dispatch },
  ) {
    const { logger } = options;
    const { identity, successions } = views;
    const limits = {
      ...DEFAULT_TICKET_LIMITS,
      ticketTtlMs: settings.ticketTtlMs,
      retentionMs: settings.ticketRetentionMs,
    };
    this.incarnations = new Set([identity.incarnation]);
    this.directory = new PeerDirectory((id) =>
      views.instanceList.findInstance(id),
    );
    this.membership = new Membership(
      {
        identity,
        availabilityZone: settings.availabilityZone,
        region: settings.region,
        leavingRunners: views.leavingRunners,
        quarantine: views.quarantine,
        successions,
        revision: () => views.config.revision,
        documentHash: () => views.config.hash,
        offerDocument: (text) => {
          views.config.applyIfNewer(text, "peer");
        },
      },
      {
        directory: this.directory,
        listInstances: () => views.instanceList.list.instances,
        logger,
      },
    );
    this.owner = new OwnerLedger(limits);
    this.witness = new WitnessLedger(limits);
    const servesIncarnation = (incarnation: string) =>
      this.incarnations.has(incarnation);
    const { directory, membership } = this;
    this.tickets = new TicketService({
      identity,
      limits,
      sealBox: new SealBox(settings.sealKeys, TICKET_PURPOSE),
      membership,
      directory,
      successions,
      ledger: this.owner,
      witness: new WitnessClient({
        ledger: this.witness,
        directory,
        successions,
        servesIncarnation,
      }),
      dispatch: options.dispatch,
      servesIncarnation,
      logger,
    });
    this.handoff = new Handoff({
      identity,
      incarnations: this.incarnations,
      owner: this.owner,
      witness: this.witness,
      membership,
      directory,
      successions,
      logger,
    });
    const { config } = views;
    this.peerService = createPeerService({
      identity,
      incarnations: this.incarnations,
      membership,
      directory,
      successions,
      tickets: this.tickets,
      owner: this.owner,
      witness: this.witness,
      handoff: this.handoff,
      document: () => ({ revision: config.revision, text: config.text }),
    });
  }
}
