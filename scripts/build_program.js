// Builds target/jujubeladder.mjs from the sources and the lock file alone: what an
// earlier build or another machine has left is removed, replaced or not read.
import { spawnSync } from "node:child_process";
import { rmSync } from "node:fs";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { findInstallProblem } from "./find_install_problem.js";

const ROOT = fileURLToPath(new URL("..", import.meta.url));
const PROGRAM = "target/jujubeladder.mjs";

process.chdir(ROOT);
try {
  rmSync(PROGRAM, { force: true });
  installDependencies();
  const { bundleProgram } = await import("./bundle_program.js");
  const digest = await bundleProgram(ROOT, PROGRAM);
  process.stdout.write(`${PROGRAM}: program ${digest}\n`);
} catch (error) {
  const reason = error instanceof Error ? error.message : String(error);
  process.stderr.write(`${PROGRAM} is not built: ${reason}\n`);
  process.exitCode = 1;
}

function installDependencies() {
  const problem = findInstallProblem(ROOT);
  if (!problem) return;
  process.stdout.write(`installing dependencies: ${problem}\n`);
  const { status } = spawnSync("npm", ["ci"], { stdio: "inherit" });
  const remaining = status === 0 ? findInstallProblem(ROOT) : "npm ci failed";
  if (remaining) throw new Error(`${problem}; ${remaining}`);
}
