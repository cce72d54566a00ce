import type { ConfigView, InstanceListView } from "@jujubeladder/configuration";
import type { TicketService } from "@jujubeladder/coordination";
import type { Logger } from "@jujubeladder/logger";
import type { SealBox } from "@jujubeladder/utils";
import type { Metrics } from "@jujubeladder/metrics";
import type { GenerationRelay } from "../relay/generation_relay.js";
import type { PlainRelay } from "../relay/plain_relay.js";

/** Dependencies of the handlers of callers' requests. */
export interface CallerContext {
  readonly configView: ConfigView;
  readonly listView: InstanceListView;
  readonly generationRelay: GenerationRelay;
  readonly plainRelay: PlainRelay;
  readonly tickets: TicketService;
  readonly handleSealBox: SealBox;
  readonly metrics: Metrics;
  readonly logger: Logger;
}
