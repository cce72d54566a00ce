import type { ConfigDocument, Result } from "@jujubeladder/types";
import { parseJson } from "@jujubeladder/utils";
import type { ConfigError } from "./config_error.js";
import { configDocumentSchema } from "./config_document_schema.js";
import { validateReferences } from "./validate_references.js";

/**
 * Parses and validates a document. The result depends on its content alone, so
 * an instance that missed earlier revisions decides like all others. Each error
 * has the key at fault and a remedy.
 */
export function parseConfigDocument(
  text: string,
): Result<ConfigDocument, readonly ConfigError[]> {
  const json = parseJson(text);
  if (json === undefined) {
    return refuse([
      {
        key: "$",
        problem: "The document is not JSON",
        remedy: "Publish one JSON object",
      },
    ]);
  }
  const parsed = configDocumentSchema.safeParse(json);
  if (!parsed.success) {
    return refuse(
      parsed.error.issues.map((issue) => ({
        key: issue.path.join(".") || "$",
        problem: issue.message,
        remedy: describeRemedy(issue.path, issue.code),
      })),
    );
  }
  const document: ConfigDocument = parsed.data;
  const errors = validateReferences(document);
  return errors.length > 0 ? refuse(errors) : { ok: true, value: document };
}

function refuse(
  error: readonly ConfigError[],
): Result<ConfigDocument, readonly ConfigError[]> {
  return { ok: false, error };
}

function describeRemedy(path: readonly PropertyKey[], code: string): string {
  if (path.at(-1) === "reason") return "Write why the exception is needed";
  if (code === "unrecognized_keys") return "Remove the unknown keys";
  return "Set a value that the documentation allows";
}
