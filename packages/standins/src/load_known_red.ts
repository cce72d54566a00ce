import { existsSync, readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";

const FILE = fileURLToPath(new URL("../../../KNOWN-RED.txt", import.meta.url));
const ENTRY = /^test=(\S+)/;

/** Maps each case name listed in KNOWN-RED.txt to its whole line. */
export function loadKnownRed(): ReadonlyMap<string, string> {
  if (!existsSync(FILE)) return new Map();
  const lines = readFileSync(FILE, "utf8").split("\n");
  return new Map(
    lines.flatMap((line) => {
      const name = ENTRY.exec(line)?.[1];
      return name === undefined ? [] : [[name, line] as const];
    }),
  );
}
