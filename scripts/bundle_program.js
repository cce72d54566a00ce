import { createHash } from "node:crypto";
import { mkdirSync, renameSync, writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { build } from "esbuild";
import { listWorkspaces } from "./list_workspaces.js";

const DIGEST_LENGTH = 16;
const DIGEST_PLACEHOLDER = "0".repeat(DIGEST_LENGTH);

/**
 * Bundles the program from the TypeScript sources of all workspaces. The file
 * appears whole or not at all.
 *
 * @param {string} root
 * @param {string} program Path below the root.
 * @returns {Promise<string>} The program's digest, in hex.
 */
export async function bundleProgram(root, program) {
  const { outputFiles } = await build({
    absWorkingDir: root,
    entryPoints: ["platform/src/main.ts"],
    bundle: true,
    write: false,
    platform: "node",
    target: "node20",
    format: "esm",
    // The packages export compiled files, which may be older than their sources.
    alias: Object.fromEntries(
      listWorkspaces(root).map(({ name, folder }) => [
        name,
        `./${folder}/src/mod.ts`,
      ]),
    ),
    define: { PROGRAM_DIGEST: JSON.stringify(DIGEST_PLACEHOLDER) },
    // CommonJS dependencies call require().
    banner: {
      js: "import{createRequire}from'node:module';const require=createRequire(import.meta.url);",
    },
  });
  const text = outputFiles.map((file) => file.text).join("");
  const digest = createHash("sha256")
    .update(text)
    .digest("hex")
    .slice(0, DIGEST_LENGTH);
  const file = join(root, program);
  const partial = `${file}.${process.pid}`;
  mkdirSync(dirname(file), { recursive: true });
  writeFileSync(partial, text.replaceAll(DIGEST_PLACEHOLDER, digest));
  renameSync(partial, file);
  return digest;
}
