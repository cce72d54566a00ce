import { hash32 } from "./hash32.js";

/** Orders ids for a key by rendezvous hashing, highest score first. */
export function rankByRendezvous(
  key: string,
  ids: readonly string[],
): readonly string[] {
  return ids
    .map((id) => ({ id, score: hash32(`${key}\n${id}`) }))
    .sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1))
    .map((entry) => entry.id);
}
