import type { LogFields } from "./log_fields.js";

const NEEDS_QUOTES = /[\s"=]/;

/** Formats an event as one line of key=value pairs. */
export function formatLogLine(fields: LogFields): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(value)}`)
    .join(" ");
}

function formatValue(value: LogFields[string]): string {
  if (typeof value === "number" && !Number.isInteger(value)) {
    return value.toFixed(3);
  }
  const text = String(value);
  return text === "" || NEEDS_QUOTES.test(text) ? JSON.stringify(text) : text;
}
