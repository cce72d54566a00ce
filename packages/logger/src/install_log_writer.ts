import { getLogLevelName, ROARR } from "roarr";
import { formatLogLine } from "./format_log_line.js";
import type { LogFields } from "./log_fields.js";

interface RoarrMessage {
  readonly context: Record<string, unknown>;
  readonly message: string;
  readonly time: number;
}

/** Installs a roarr writer that passes key=value lines to `write`. */
export function installLogWriter(write: (line: string) => void): void {
  ROARR.write = (serialized: string) => {
    const { context, message, time } = JSON.parse(serialized) as RoarrMessage;
    const { logLevel, ...fields } = context;
    const line = formatLogLine({
      time: new Date(time).toISOString(),
      level: getLogLevelName(Number(logLevel)),
      event: message,
      ...(fields as LogFields),
    });
    write(line);
  };
}
