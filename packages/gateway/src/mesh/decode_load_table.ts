import type { LoadTable as LoadTableMessage } from "@jujubeladder/protocol";
import type { LoadTable } from "../model/load_table.js";
import type { RunnerLoad } from "../model/runner_load.js";
import { TOKENS_PER_BLOCK } from "./tokens_per_block.js";

const MAX_RUNNERS = 1_000;
const MAX_COUNT = 65_535;
const MAX_BLOCKS = 2 ** 24;

/**
 * Decodes a peer's load table; undefined if there is none. Odd entries are left
 * out, so that sums stay numbers.
 */
export function decodeLoadTable(
  message: LoadTableMessage | undefined,
): LoadTable | undefined {
  if (!message) return undefined;
  const table = new Map<number, RunnerLoad>();
  for (const [index, hash] of message.runnerHashes.entries()) {
    if (table.size >= MAX_RUNNERS) break;
    const requests = message.requests[index] ?? 0;
    const peakBlocks = message.peakBlocks[index] ?? 0;
    const unreadBlocks = message.unreadBlocks[index] ?? 0;
    const isOdd =
      requests > MAX_COUNT ||
      peakBlocks > MAX_BLOCKS ||
      unreadBlocks > MAX_BLOCKS;
    if (isOdd) continue;
    table.set(hash, {
      requests,
      peakTokens: peakBlocks * TOKENS_PER_BLOCK,
      unreadTokens: unreadBlocks * TOKENS_PER_BLOCK,
    });
  }
  return table;
}
