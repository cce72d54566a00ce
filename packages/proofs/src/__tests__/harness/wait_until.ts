import { sleep } from "@jujubeladder/utils";

const POLL_MS = 25;
const GENEROUS_MS = 60_000;

/** Waits for a condition; throws after a generous time. */
export async function waitUntil(
  what: string,
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const endsAtMs = Date.now() + GENEROUS_MS;
  while (!(await condition())) {
    if (Date.now() > endsAtMs) throw new Error(`${what} did not come true`);
    await sleep(POLL_MS);
  }
}
