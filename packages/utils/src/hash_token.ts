import { createHash } from "node:crypto";

/** Returns the hexadecimal SHA-256 of a bearer token. */
export function hashToken(token: string): string {
  return createHash("sha256").update(token).digest("hex");
}
