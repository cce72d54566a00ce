import type { RequestSettings } from "@jujubeladder/types";

/** What the scheduler knows of a request when it places it. */
export interface SchedulingRequest {
  readonly requestId: string;
  readonly serviceId: string;
  readonly teamId: string;
  readonly teamWeight: number;
  readonly kindId: string;
  readonly isShort: boolean;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly prefixKey: string;
  readonly settings: RequestSettings;
  /** Runners that must not be tried again for this request. */
  readonly excludedRunnerIds: ReadonlySet<string>;
  /** When set, the only runners that may be tried. */
  readonly allowedRunnerIds?: ReadonlySet<string>;
}
