/** Structured logs: one key=value line per event. */
export { BoundedWriter } from "./bounded_writer.js";
export { formatLogLine } from "./format_log_line.js";
export { installLogWriter } from "./install_log_writer.js";
export type { LogFields } from "./log_fields.js";
export { Logger } from "./logger.js";
