import type { RequestSettings } from "@jujubeladder/types";

/** Properties of a request that admission and placement depend on. */
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
  /** Runners that must not be chosen for this request. */
  readonly excludedRunnerIds: ReadonlySet<string>;
  /** If set, the only runners that may be chosen. */
  readonly allowedRunnerIds?: ReadonlySet<string>;
}
