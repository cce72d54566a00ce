// Compiles all packages into their lib folders. tsc -b goes by file times and keeps
// the output of removed sources, so the output of a package whose sources are not
// those that it was compiled from is removed first.
import { spawnSync } from "node:child_process";
import { createHash } from "node:crypto";
import {
  existsSync,
  mkdirSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("..", import.meta.url));
const COMPILER = "node_modules/typescript/bin/tsc";
const COMPILER_INPUTS = ["package-lock.json", "tsconfig.base.json"];
/** Below a package; holds the digest of the sources of its output. */
const DIGEST_FILE = "lib/.source-digest";

process.chdir(ROOT);
/** @type {{ references: { path: string }[] }} */
const { references } = JSON.parse(readFileSync("tsconfig.json", "utf8"));
const digests = new Map(
  references.map(({ path }) => [path, computeSourceDigest(path)]),
);
for (const [path, digest] of digests) {
  const file = join(path, DIGEST_FILE);
  if (existsSync(file) && readFileSync(file, "utf8") === digest) continue;
  rmSync(join(path, "lib"), { recursive: true, force: true });
  rmSync(join(path, "tsconfig.tsbuildinfo"), { force: true });
}
const { status } = spawnSync(process.execPath, [COMPILER, "-b"], {
  stdio: "inherit",
});
if (status === 0) {
  for (const [path, digest] of digests) {
    const file = join(path, DIGEST_FILE);
    mkdirSync(dirname(file), { recursive: true });
    writeFileSync(file, digest);
  }
}
process.exitCode = status ?? 1;

/**
 * @param {string} path
 * @returns {string}
 */
function computeSourceDigest(path) {
  const hash = createHash("sha256");
  const sources = readdirSync(join(path, "src"), { recursive: true })
    .map((name) => join(path, "src", String(name)))
    .filter((name) => name.endsWith(".ts"))
    .sort();
  for (const name of [
    ...COMPILER_INPUTS,
    join(path, "tsconfig.json"),
    ...sources,
  ]) {
    hash.update(`${name}\0`).update(readFileSync(name)).update("\0");
  }
  return hash.digest("hex");
}
