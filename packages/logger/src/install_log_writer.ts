import { getLogLevelName, ROARR } from "roarr";
import { formatLogLine } from "./format_log_line.js";
import type { LogFields } from "./log_fields.js";

interface RoarrMessage {
  readonly context: Readonly<Record<string, unknown>>;
  readonly message: string;
  readonly time: number;
}

/** Installs a roarr writer that passes key=value lines to `write`. */
export function installLogWriter(write: (line: string) => void): void {
  ROARR.serializeMessage = toLine;
  ROARR.write = write;
}

function toLine({ context, message, time }: RoarrMessage): string {
  const { logLevel, ...fields } = context;
  return formatLogLine({
    time: new Date(time).toISOString(),
    level: getLogLevelName(Number(logLevel)),
    event: message,
    ...(fields as LogFields),
  });
}
