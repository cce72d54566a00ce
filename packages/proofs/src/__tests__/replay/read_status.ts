import { request } from "undici";
import type { Fleet } from "../harness/fleet.js";

/** The fields of an entry's status that the proofs compare. */
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
  const response = await request(`${fleet.adminUrl(name)}/status`, {
    headersTimeout: 2_000,
  });
  return (await response.body.json()) as EntryStatus;
}
