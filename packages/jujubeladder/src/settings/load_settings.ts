import type { Result } from "@jujubeladder/types";
import type { EntrySettings } from "./entry_settings.js";
import { entrySettingsSchema } from "./entry_settings_schema.js";
import { SETTING_SPECS } from "./setting_specs.js";

const ENVIRONMENT_PREFIX = "JUJUBELADDER_";
const SECRET_KEY = "sealKeys";

/**
 * Loads settings from flags, environment variables and defaults, in that order
 * of precedence. The error is one message that lists the key, value and remedy
 * of each problem; secrets are hidden.
 */
export function loadSettings(
  flags: Readonly<Record<string, unknown>>,
  environment: Readonly<Record<string, string | undefined>>,
): Result<EntrySettings, string> {
  const unknownNames = [
    ...findUnknownFlags(flags),
    ...findUnknownVariables(environment),
  ];
  const texts = Object.fromEntries(
    SETTING_SPECS.map((spec) => [
      spec.key,
      flags[spec.key]?.toString() ??
        environment[toVariable(spec.flag)] ??
        spec.defaultValue,
    ]),
  );
  const parsed = entrySettingsSchema.safeParse(texts);
  const problems = parsed.success
    ? []
    : parsed.error.issues.map((issue) =>
        describeProblem(String(issue.path[0]), texts, issue.message),
      );
  if (parsed.success && unknownNames.length === 0) {
    return { ok: true, value: parsed.data };
  }
  const error = [
    ...unknownNames.map((name) => `${name} is unknown: remove it`),
    ...problems,
  ].join("; ");
  return { ok: false, error };
}

function describeProblem(
  key: string,
  texts: Readonly<Record<string, string | undefined>>,
  message: string,
): string {
  const spec = SETTING_SPECS.find((candidate) => candidate.key === key);
  const flag = spec?.flag ?? key;
  const text = texts[key];
  const shown = key === SECRET_KEY && text !== undefined ? "(hidden)" : text;
  const value = shown === undefined ? "is not set" : `is "${shown}"`;
  const remedy = `set --${flag} or ${toVariable(flag)}`;
  return `--${flag} ${value}: ${message}; ${remedy} (${spec?.help ?? ""})`;
}

function toVariable(flag: string): string {
  return ENVIRONMENT_PREFIX + flag.toUpperCase().replaceAll("-", "_");
}

function findUnknownFlags(
  flags: Readonly<Record<string, unknown>>,
): readonly string[] {
  const known = new Set<string>(SETTING_SPECS.map((spec) => spec.key));
  return Object.keys(flags)
    .filter((key) => key !== "--" && !known.has(key))
    .map((key) => `--${key}`);
}

function findUnknownVariables(
  environment: Readonly<Record<string, string | undefined>>,
): readonly string[] {
  const known = new Set(SETTING_SPECS.map((spec) => toVariable(spec.flag)));
  return Object.keys(environment).filter(
    (name) => name.startsWith(ENVIRONMENT_PREFIX) && !known.has(name),
  );
}
