const NOT_RUN_HEADER = "x-not-run";
const MIN_FAILURE_STATUS = 400;

type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** Whether a response refuses the request, as proof that it did not run. */
type Refusal =
  | {
      readonly type: "refused";
      readonly reason: string;
      readonly isLeaving: boolean;
    }
  /** The response claims to be a refusal, but not of this request. */
  | { readonly type: "unknown"; readonly reason: string };

/**
 * Reads why a runner refused to execute a request; undefined if it did not. A
 * refusal that carries the id of a request must carry that of this one.
 */
export function readRefusal(
  response: { readonly statusCode: number; readonly headers: Headers },
  request: { readonly idHeader: string; readonly id: string },
): Refusal | undefined {
  const { statusCode, headers } = response;
  const reason = headers[NOT_RUN_HEADER];
  if (reason === undefined) return undefined;
  if (typeof reason !== "string") {
    return { type: "unknown", reason: "the refusal has several reasons" };
  }
  if (statusCode < MIN_FAILURE_STATUS) {
    return { type: "unknown", reason: `a refusal with status ${statusCode}` };
  }
  const id = headers[request.idHeader];
  if (id !== undefined && request.id !== "" && id !== request.id) {
    return { type: "unknown", reason: "the refusal is of another request" };
  }
  return { type: "refused", reason, isLeaving: reason === "leaving" };
}
