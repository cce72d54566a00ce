import type { Membership, Quarantine } from "@jujubeladder/coordination";
import type { Logger } from "@jujubeladder/logger";
import type { RetryBudget, Scheduler } from "@jujubeladder/scheduling";
import type { Runner } from "@jujubeladder/types";
import type { SealBox } from "@jujubeladder/utils";
import type { Metrics } from "@jujubeladder/metrics";
import type { RunnerAccess } from "./runner_access.js";

/** What relaying generations needs of the instance. */
export interface RelayParts {
  readonly instanceId: string;
  readonly access: RunnerAccess;
  readonly findRunner: (runnerId: string) => Runner | undefined;
  readonly listInstanceIds: () => readonly string[];
  readonly schedulerOf: (serviceId: string) => Scheduler;
  readonly budgetOf: (serviceId: string) => RetryBudget;
  readonly quarantine: Quarantine;
  readonly membership: Membership;
  readonly sealBox: SealBox;
  readonly fingerprintSecret: string;
  readonly metrics: Metrics;
  readonly logger: Logger;
}
