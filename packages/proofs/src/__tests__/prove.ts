import { rmSync } from "node:fs";
import process from "node:process";
import { loadKnownRed } from "@jujubeladder/standins";
import { generateTrace } from "./replay/generate_trace.js";
import { loadTraces } from "./replay/load_traces.js";
import { runTrace } from "./replay/run_trace.js";
import type { Trace } from "./replay/trace.js";

const PARALLEL_CASES = 3;
const FIXED_SEEDS = [1, 2, 3, 4, 5, 6];
const SEEDED_CASE = /^combined\/seed-(\d+)$/;

/** Counts of cases, violations and failed cases of one promise. */
interface Tally {
  cases: number;
  violations: number;
  failed: number;
}

const caseFilters = process.argv.slice(2);
const knownRed = loadKnownRed();
const tallies = new Map<string, Tally>();
let passed = 0;
let failed = 0;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function prove(trace: Trace): Promise<void> {
  const name = `${trace.promise}/${trace.case}`;
  const { violations, folder } = await runTrace(trace);
  const isKnownRed = knownRed.has(name);
  const tally = tallies.get(trace.promise);
  if (tally) tally.cases += 1;
  if (violations.length === 0) {
    rmSync(folder, { recursive: true, force: true });
    passed += 1;
    print(`case=${name} result=passed${isKnownRed ? " known_red=true" : ""}`);
    return;
  }
  print(`case=${name} result=failed known_red=${isKnownRed} logs=${folder}`);
  for (const violation of violations) print(`  violation: ${violation}`);
  print(`  again: npm run prove -- ${name}`);
  if (isKnownRed) return;
  failed += 1;
  if (!tally) return;
  tally.violations += violations.length;
  tally.failed += 1;
}

// Generated cases use the fixed seeds unless the case filters name others.
function listTraces(): readonly Trace[] {
  const requestedSeeds = caseFilters.flatMap((caseFilter) => {
    const seed = SEEDED_CASE.exec(caseFilter)?.[1];
    return seed === undefined ? [] : [Number(seed)];
  });
  const seeds = requestedSeeds.length > 0 ? requestedSeeds : FIXED_SEEDS;
  return [...loadTraces(), ...seeds.map(generateTrace)];
}

for (const line of knownRed.values()) print(`known_red: ${line}`);
const traces = listTraces().filter(
  (trace) =>
    caseFilters.length === 0 ||
    caseFilters.some((caseFilter) =>
      `${trace.promise}/${trace.case}`.startsWith(caseFilter),
    ),
);
for (const { promise } of traces) {
  tallies.set(promise, { cases: 0, violations: 0, failed: 0 });
}
const queue = [...traces];
await Promise.all(
  Array.from({ length: PARALLEL_CASES }, async () => {
    for (;;) {
      const trace = queue.shift();
      if (!trace) return;
      await prove(trace);
    }
  }),
);
for (const [promise, { cases, violations }] of tallies) {
  print(`promise=${promise} cases=${cases} violations=${violations}`);
}
print(`${passed} passed, ${failed} failed`);
process.exit(failed === 0 && traces.length > 0 ? 0 : 1);
