import { spawnSync } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";

const DEPENDENCIES = "node_modules/";

/**
 * Compares the installed dependencies with the lock file, and runs the bundler,
 * the one dependency of the build with native code. File times tell nothing:
 * folders may be copied between checkouts and machines.
 *
 * @param {string} root
 * @returns {string | undefined} Why dependencies have to be installed, if so.
 */
export function findInstallProblem(root) {
  const installedLock = join(root, "node_modules/.package-lock.json");
  if (!existsSync(installedLock)) return "no dependencies are installed";
  const wanted = readPackages(join(root, "package-lock.json"));
  const installed = readPackages(installedLock);
  for (const [path, entry] of Object.entries(wanted)) {
    if (!entry || !path.includes(DEPENDENCIES)) continue;
    const found = installed[path];
    // Packages for other kinds of machine are left out.
    if (!found && entry.optional) continue;
    if (
      found?.version !== entry.version ||
      found?.integrity !== entry.integrity ||
      found?.resolved !== entry.resolved
    ) {
      const name = path.slice(
        path.lastIndexOf(DEPENDENCIES) + DEPENDENCIES.length,
      );
      return `${name} ${entry.version ?? ""} is not installed`;
    }
  }
  const version = wanted["node_modules/esbuild"]?.version;
  const bundler = join(root, "node_modules/esbuild/bin/esbuild");
  const { status, stdout } = spawnSync(bundler, ["--version"], {
    encoding: "utf8",
  });
  if (status !== 0 || stdout.trim() !== version) {
    return `esbuild ${version ?? ""} does not run on ${process.platform}-${process.arch}`;
  }
  return undefined;
}

/**
 * @param {string} file
 * @returns {Record<string, { version?: string, integrity?: string, resolved?: string, optional?: boolean } | undefined>}
 */
function readPackages(file) {
  return JSON.parse(readFileSync(file, "utf8")).packages;
}
