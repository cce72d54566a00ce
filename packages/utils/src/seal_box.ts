import {
  createCipheriv,
  createDecipheriv,
  hkdfSync,
  randomBytes,
} from "node:crypto";

const KEY_BYTES = 32;
const NONCE_BYTES = 12;
const TAG_BYTES = 16;

/**
 * Encrypts and authenticates values with AES-256-GCM. The first key seals and
 * every key opens, so that keys can be rotated one instance at a time.
 */
export class SealBox {
  readonly #keys: readonly Buffer[];

  constructor(secrets: readonly string[], purpose: string) {
    this.#keys = secrets.map((secret) =>
      Buffer.from(hkdfSync("sha256", secret, "", purpose, KEY_BYTES)),
    );
  }

  /** Returns the sealed JSON value as URL-safe text. */
  seal(value: unknown): string {
    const key = this.#keys[0];
    if (key === undefined) throw new Error("No sealing key is set");
    const nonce = randomBytes(NONCE_BYTES);
    const cipher = createCipheriv("aes-256-gcm", key, nonce);
    const sealed = Buffer.concat([
      nonce,
      cipher.update(JSON.stringify(value), "utf8"),
      cipher.final(),
      cipher.getAuthTag(),
    ]);
    return sealed.toString("base64url");
  }

  /** Returns the value, or undefined if no key opens the text. */
  open(sealed: string): unknown {
    const bytes = Buffer.from(sealed, "base64url");
    if (bytes.length <= NONCE_BYTES + TAG_BYTES) return undefined;
    for (const key of this.#keys) {
      try {
        return openWithKey(bytes, key);
      } catch {
        continue;
      }
    }
    return undefined;
  }
}

function openWithKey(bytes: Buffer, key: Buffer): unknown {
  const nonce = bytes.subarray(0, NONCE_BYTES);
  const decipher = createDecipheriv("aes-256-gcm", key, nonce);
  decipher.setAuthTag(bytes.subarray(-TAG_BYTES));
  const sealed = bytes.subarray(NONCE_BYTES, -TAG_BYTES);
  const text = decipher.update(sealed, undefined, "utf8");
  return JSON.parse(text + decipher.final("utf8"));
}
