import {
  LeavingRunners,
  Quarantine,
  Successions,
} from "@jujubeladder/coordination";
import type { Logger } from "@jujubeladder/logger";
import { ConfigView, InstanceListView } from "@jujubeladder/configuration";
import type { PeerIdentity } from "@jujubeladder/types";
import { createId } from "@jujubeladder/utils";
import type { EntrySettings } from "../settings/entry_settings.js";

/** In-memory state of an instance; not persisted. */
export class EntryViews {
  readonly identity: PeerIdentity;
  readonly config: ConfigView;
  readonly instanceList = new InstanceListView();
  readonly leavingRunners = new LeavingRunners();
  readonly quarantine = new Quarantine();
  readonly successions: Successions;

  constructor(settings: EntrySettings, logger: Logger) {
    const { instanceId } = settings;
    this.identity = { instanceId, incarnation: createId() };
    this.config = new ConfigView(logger);
    this.successions = new Successions(
      settings.ticketTtlMs + settings.ticketRetentionMs,
    );
  }
}
