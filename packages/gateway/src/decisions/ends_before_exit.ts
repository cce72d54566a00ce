/** Time to send the rest of a response before the instance exits. */
const FINISH_MARGIN_MS = 100;

/**
 * Returns whether a request ends before this instance exits, whatever its
 * runner does: only its deadline bounds the time that it may take. `exitAtMs`
 * is undefined unless the instance is stopping.
 */
export function endsBeforeExit(
  deadlineAtMs: number,
  exitAtMs: number | undefined,
): boolean {
  return exitAtMs === undefined || deadlineAtMs <= exitAtMs - FINISH_MARGIN_MS;
}
