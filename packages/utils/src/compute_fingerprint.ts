import { createHmac } from "node:crypto";

/** Returns the HMAC-SHA-256 of the content, for comparison between peers. */
export function computeFingerprint(secret: string, content: string): string {
  return createHmac("sha256", secret).update(content).digest("base64url");
}
