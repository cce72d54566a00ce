import { hashText } from "./hash_text.js";

/** Orders ids for a key by rendezvous hashing, highest score first. */
export function rankByRendezvous(
  key: string,
  ids: readonly string[],
): readonly string[] {
  return ids
    .map((id) => ({ id, score: hashText(`${key}\n${id}`) }))
    .sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1))
    .map((entry) => entry.id);
}
