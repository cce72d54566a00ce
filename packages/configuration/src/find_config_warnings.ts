import type { ConfigDocument } from "@jujubeladder/types";

const MANY_EXCEPTIONS = 20;

/**
 * Warnings that `check` prints; they never change acceptance. `base` is the
 * document in force, when the operator names it.
 */
export function findConfigWarnings(
  document: ConfigDocument,
  base?: ConfigDocument,
): readonly string[] {
  const warnings: string[] = [];
  if (document.exceptions.length > MANY_EXCEPTIONS) {
    warnings.push(
      `The list of exceptions has ${document.exceptions.length} entries; ` +
        "change the defaults instead",
    );
  }
  if (base && document.revision !== base.revision + 1) {
    warnings.push(
      `The revision ${document.revision} does not follow ${base.revision}; ` +
        "another operator may have published in between",
    );
  }
  return warnings;
}
