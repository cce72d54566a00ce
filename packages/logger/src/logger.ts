import { Roarr } from "roarr";
import type { LogFields } from "./log_fields.js";

/** Logs events with structured fields through roarr. */
export class Logger {
  readonly #roarr: typeof Roarr;

  constructor(context: LogFields) {
    this.#roarr = Roarr.child({ ...context });
  }

  info(event: string, fields: LogFields = {}): void {
    this.#roarr.info({ ...fields }, event);
  }

  warn(event: string, fields: LogFields = {}): void {
    this.#roarr.warn({ ...fields }, event);
  }

  error(event: string, fields: LogFields = {}): void {
    this.#roarr.error({ ...fields }, event);
  }
}
