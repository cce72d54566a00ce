/** Says when a generation may be sent to another runner. */
export function describeRetries(
  isIdempotent: boolean,
  maxAttempts: number,
): string {
  if (maxAttempts === 1) return "never sent to a second runner";
  const limit = `to at most ${maxAttempts} runners, within the retry budget`;
  return isIdempotent
    ? `${limit}, until output has reached the caller, even if it may have run`
    : `${limit}, only while each one refused it or was sent no byte of it`;
}
