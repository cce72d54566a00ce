/** Returns the code or message of a thrown value, for a log line. */
export function describeError(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const code = (error as { code?: unknown }).code;
  return typeof code === "string" ? code : error.message;
}
