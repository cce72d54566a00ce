import { request } from "undici";
import type { Fleet } from "../harness/fleet.js";

/** Parts of an entry's status that proofs compare. */
interface EntryStatus {
  readonly revision: number;
  readonly documentHash: string;
  readonly identity: { readonly incarnation: string };
}

/** Reads an entry's status from its admin port. */
export async function readStatus(
  fleet: Fleet,
  name: string,
): Promise<EntryStatus> {
  const answer = await request(`${fleet.adminUrl(name)}/status`, {
    headersTimeout: 2_000,
  });
  return (await answer.body.json()) as EntryStatus;
}
