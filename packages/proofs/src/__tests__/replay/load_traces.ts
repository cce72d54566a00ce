import { readdirSync, readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import type { Trace } from "./trace.js";

const FOLDER = fileURLToPath(
  new URL("../../../src/__fixtures__/traces/", import.meta.url),
);

/** Loads all recorded traces; each file holds the cases of one promise. */
export function loadTraces(): readonly Trace[] {
  return readdirSync(FOLDER)
    .sort()
    .flatMap((file) => {
      const { promise, cases } = JSON.parse(
        readFileSync(`${FOLDER}${file}`, "utf8"),
      ) as {
        readonly promise: string;
        readonly cases: readonly Omit<Trace, "promise">[];
      };
      return cases.map((trace) => ({ ...trace, promise }));
    });
}
