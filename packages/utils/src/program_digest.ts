/** Defined by the bundler; see scripts/build_program.js. */
declare const PROGRAM_DIGEST: string | undefined;

/**
 * Digest of the bundled program that runs, in hex; "unbundled" where the
 * compiled files of the packages run instead.
 */
export const programDigest: string =
  typeof PROGRAM_DIGEST === "undefined" ? "unbundled" : PROGRAM_DIGEST;
