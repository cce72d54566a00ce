import type { RequestSettings } from "./request_settings.js";

/** A departure from the fleet-wide defaults, with its written reason. */
export interface ConfigException {
  readonly exceptionId: string;
  readonly reason: string;
  readonly serviceId?: string | undefined;
  readonly teamId?: string | undefined;
  readonly settings: Partial<RequestSettings>;
}
