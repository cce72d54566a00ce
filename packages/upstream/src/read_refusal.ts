const NOT_RUN_HEADER = "x-not-run";

/** Returns why a runner refused before starting, or undefined. */
export function readRefusal(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): { readonly reason: string; readonly isLeaving: boolean } | undefined {
  const reason = headers[NOT_RUN_HEADER];
  if (typeof reason !== "string") return undefined;
  return { reason, isLeaving: reason === "leaving" };
}
