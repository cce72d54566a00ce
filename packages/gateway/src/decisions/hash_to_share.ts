import { hashText } from "@jujubeladder/utils";

/** Returns a number from 0 to below 1, the same for the same text. */
export function hashToShare(text: string): number {
  return (hashText(text) >>> 0) / 2 ** 32;
}
