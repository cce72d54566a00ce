import type { LogFields } from "./log_fields.js";

const NEEDS_QUOTES = /[\s"=]/;

/** Formats an event as one line of key=value pairs. */
export function formatLogLine(fields: LogFields): string {
  let line = "";
  for (const key in fields) {
    const value = fields[key];
    if (value === undefined) continue;
    line += `${line === "" ? "" : " "}${key}=${formatValue(value)}`;
  }
  return line;
}

function formatValue(value: string | number | boolean): string {
  if (typeof value === "number") {
    // Numbers that JSON can't represent are printed as it would print them.
    if (!Number.isFinite(value)) return "null";
    return Number.isInteger(value) ? String(value) : value.toFixed(3);
  }
  const text = String(value);
  return text === "" || NEEDS_QUOTES.test(text) ? JSON.stringify(text) : text;
}
