import process from "node:process";

const USAGE_EXIT_CODE = 2;

/** Prints an error of the command line and sets exit code 2. */
export function exitWithUsage(message: string): void {
  process.stderr.write(`jujubeladder: ${message}\n`);
  process.exitCode = USAGE_EXIT_CODE;
}
