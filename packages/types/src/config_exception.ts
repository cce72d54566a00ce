import type { RequestSettings } from "./request_settings.js";

/**
 * Overrides of the fleet-wide defaults, for one service, one team or both. An
 * absent id matches every service or team; the reason is mandatory.
 */
export interface ConfigException {
  readonly exceptionId: string;
  readonly reason: string;
  readonly serviceId?: string | undefined;
  readonly teamId?: string | undefined;
  readonly settings: Partial<RequestSettings>;
}
