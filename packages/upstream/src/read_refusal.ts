const NOT_RUN_HEADER = "x-not-run";

/** Returns why a runner refused to execute a request, or undefined. */
export function readRefusal(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): { readonly reason: string; readonly isLeaving: boolean } | undefined {
  const reason = headers[NOT_RUN_HEADER];
  if (typeof reason !== "string") return undefined;
  return { reason, isLeaving: reason === "leaving" };
}
