import { readFileSync } from "node:fs";
import { join } from "node:path";

/**
 * Lists the workspaces that a lock file names.
 *
 * @param {string} root
 * @returns {{ readonly name: string, readonly folder: string }[]}
 */
export function listWorkspaces(root) {
  const lock = JSON.parse(
    readFileSync(join(root, "package-lock.json"), "utf8"),
  );
  return Object.entries(lock.packages)
    .filter(([, { link }]) => link)
    .map(([path, { resolved }]) => ({
      name: path.slice("node_modules/".length),
      folder: resolved,
    }));
}
