import type { Membership, Quarantine } from "@jujubeladder/coordination";
import type { Logger } from "@jujubeladder/logger";
import type { RetryBudget, Scheduler } from "@jujubeladder/scheduling";
import type { Runner } from "@jujubeladder/types";
import type { SealBox } from "@jujubeladder/utils";
import type { Metrics } from "@jujubeladder/metrics";
import type { RunnerMonitor } from "./runner_monitor.js";

/** Dependencies of the generation relay, provided by the instance. */
export interface RelayDependencies {
  readonly instanceId: string;
  readonly monitor: RunnerMonitor;
  readonly findRunner: (runnerId: string) => Runner | undefined;
  readonly listInstanceIds: () => readonly string[];
  readonly getScheduler: (serviceId: string) => Scheduler;
  readonly getRetryBudget: (serviceId: string) => RetryBudget;
  readonly quarantine: Quarantine;
  readonly membership: Membership;
  readonly sealBox: SealBox;
  readonly fingerprintSecret: string;
  readonly metrics: Metrics;
  readonly logger: Logger;
}
