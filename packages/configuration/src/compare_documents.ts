import type { ConfigDocument } from "@jujubeladder/types";

/** A document and the SHA-256 of its text. */
interface HashedDocument {
  readonly document: ConfigDocument;
  readonly hash: string;
}

/**
 * Orders documents by revision, then publication time, then hash. The order
 * depends on content alone, so that all instances choose the same one when
 * operators published two documents under one revision.
 */
export function compareDocuments(a: HashedDocument, b: HashedDocument): number {
  return (
    a.document.revision - b.document.revision ||
    a.document.publishedAtMs - b.document.publishedAtMs ||
    (a.hash === b.hash ? 0 : a.hash < b.hash ? -1 : 1)
  );
}
