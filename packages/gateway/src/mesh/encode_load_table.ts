import type { MessageInitShape } from "@bufbuild/protobuf";
import type { LoadTableSchema } from "@jujubeladder/protocol";
import type { LoadTable } from "../model/load_table.js";
import { MAX_TABLE_RUNNERS } from "./max_table_runners.js";
import { TOKENS_PER_BLOCK } from "./tokens_per_block.js";

const MAX_COUNT = 65_535;
const MAX_BLOCKS = 2 ** 24;

/** Encodes the most loaded runners of a table for a peer. */
export function encodeLoadTable(
  table: LoadTable,
): MessageInitShape<typeof LoadTableSchema> {
  let entries = [...table];
  if (entries.length > MAX_TABLE_RUNNERS) {
    entries = entries
      .sort(([, a], [, b]) => b.peakTokens - a.peakTokens)
      .slice(0, MAX_TABLE_RUNNERS);
  }
  return {
    runnerHashes: entries.map(([hash]) => hash),
    requests: entries.map(([, load]) => Math.min(load.requests, MAX_COUNT)),
    peakBlocks: entries.map(([, load]) => toBlocks(load.peakTokens)),
    unreadBlocks: entries.map(([, load]) => toBlocks(load.unreadTokens)),
  };
}

function toBlocks(tokens: number): number {
  const blocks = Math.round(tokens / TOKENS_PER_BLOCK);
  return Math.min(MAX_BLOCKS, Math.max(0, blocks));
}
