import { sleep } from "@jujubeladder/utils";

const POLL_MS = 25;
const TIMEOUT_MS = 60_000;

/** Polls until the condition holds; throws after `TIMEOUT_MS`. */
export async function waitUntil(
  description: string,
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const deadlineMs = Date.now() + TIMEOUT_MS;
  while (!(await condition())) {
    if (Date.now() > deadlineMs)
      throw new Error(`Timed out waiting until ${description}`);
    await sleep(POLL_MS);
  }
}
