import process from "node:process";
import { cac } from "cac";
import { DEPLOYMENTS } from "./deployments.js";
import { measureDeployment } from "./measure_deployment.js";

const DEFAULT_SEEDS = "1,2,3";

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

const cli = cac("measure");
cli
  .command("", "Replay each deployment's trace under each policy")
  .option("--seeds <list>", "Seeds by commas", { default: DEFAULT_SEEDS })
  .option("--deployment <name>", "One deployment alone")
  .action((flags: { readonly seeds: string; readonly deployment?: string }) => {
    const seeds = String(flags.seeds).split(",").map(Number);
    for (const deployment of DEPLOYMENTS) {
      if (flags.deployment && flags.deployment !== deployment.name) continue;
      measureDeployment(deployment, seeds, print);
    }
  });
cli.help();
cli.parse();
