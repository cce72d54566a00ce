#!/usr/bin/env node
import process from "node:process";
import "./commands/enable_logs.js";
import { cac } from "cac";
import { installLogWriter } from "@jujubeladder/logger";
import { exitWithUsage } from "./commands/exit_with_usage.js";
import { runCheck } from "./commands/run_check.js";
import { runDemo } from "./commands/run_demo.js";
import { runEntry } from "./commands/run_entry.js";
import { runExplain } from "./commands/run_explain.js";
import { runStatus } from "./commands/run_status.js";
import { SETTING_SPECS } from "./settings/setting_specs.js";

const DEFAULT_ADMIN_URL = "http://127.0.0.1:8082";

installLogWriter((line) => {
  process.stdout.write(`${line}\n`);
});

const cli = cac("jujubeladder");

const entry = cli.command("entry", "Serve as an entry instance");
for (const spec of SETTING_SPECS) {
  const defaultText =
    spec.defaultValue === undefined ? "" : ` (${spec.defaultValue})`;
  entry.option(`--${spec.flag} <value>`, `${spec.help}${defaultText}`);
}
entry.allowUnknownOptions().action(runEntry);

cli
  .command("check <file>", "Check a configuration document")
  .option("--base <file>", "Document in force, to warn of concurrent publishes")
  .action(runCheck);

cli
  .command("status", "Show an instance's state and its peers")
  .option("--url <url>", "Admin address", { default: DEFAULT_ADMIN_URL })
  .action(runStatus);

cli
  .command("explain", "Show the placement decision for a request")
  .option("--url <url>", "Admin address", { default: DEFAULT_ADMIN_URL })
  .option("--service <id>", "Service")
  .option("--team <id>", "Team")
  .option("--kind <id>", "Kind of request")
  .option("--prompt-tokens <count>", "Prompt length in tokens")
  .action(runExplain);

cli
  .command("demo", "Run one instance on embedded stand-ins")
  .option("--once", "Stop after the demo's requests", { default: false })
  .action(runDemo);

cli.help();
try {
  cli.parse(process.argv, { run: false });
  if (!cli.matchedCommand && !cli.options["help"]) {
    exitWithUsage("name a command; --help lists them");
  }
  await cli.runMatchedCommand();
} catch (error) {
  if (!(error instanceof Error) || error.name !== "CACError") throw error;
  exitWithUsage(error.message);
}
