import { randomBytes } from "node:crypto";

const ID_BYTES = 12;

/** Returns a random identifier that is safe within a URL. */
export function createId(): string {
  return randomBytes(ID_BYTES).toString("base64url");
}
