import { createHmac } from "node:crypto";

/** Returns a keyed fingerprint of content that peers can compare. */
export function computeFingerprint(secret: string, content: string): string {
  return createHmac("sha256", secret).update(content).digest("base64url");
}
