import type { ConfigDocument } from "@jujubeladder/types";

const EXCEPTION_WARNING_THRESHOLD = 20;

/**
 * Returns the warnings that `check` prints; a document with warnings is still
 * accepted. `base` is the document in force, if the operator gave it.
 */
export function findConfigWarnings(
  document: ConfigDocument,
  base?: ConfigDocument,
): readonly string[] {
  const warnings: string[] = [];
  if (document.exceptions.length > EXCEPTION_WARNING_THRESHOLD) {
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
