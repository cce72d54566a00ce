import { readFile } from "node:fs/promises";
import process from "node:process";
import {
  findConfigWarnings,
  parseConfigDocument,
} from "@jujubeladder/configuration";
import type { ConfigDocument } from "@jujubeladder/types";
import { describeError } from "@jujubeladder/utils";
import { exitWithUsage } from "./exit_with_usage.js";

/** `jujubeladder check FILE`: validates a configuration document. */
export async function runCheck(
  file: string,
  options: { readonly base?: string },
): Promise<void> {
  const document = await readDocument(file);
  const base =
    options.base === undefined ? undefined : await readDocument(options.base);
  if (!document) return;
  for (const warning of findConfigWarnings(document, base)) {
    process.stdout.write(`warning: ${warning}\n`);
  }
  const { revision, services, teams, exceptions } = document;
  process.stdout.write(
    `accepted revision=${revision} services=${services.length} ` +
      `teams=${teams.length} exceptions=${exceptions.length}\n`,
  );
}

async function readDocument(file: string): Promise<ConfigDocument | undefined> {
  try {
    const parsed = parseConfigDocument(await readFile(file, "utf8"));
    if (parsed.ok) return parsed.value;
    exitWithUsage(
      parsed.error
        .map((e) => `${file}: ${e.key}: ${e.problem}: ${e.remedy}`)
        .join("\n"),
    );
  } catch (error) {
    exitWithUsage(`${file} cannot be read: ${describeError(error)}`);
  }
  return undefined;
}
