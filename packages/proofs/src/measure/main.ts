import process from "node:process";
import { cac } from "cac";
import { DEPLOYMENTS } from "./deployments.js";
import { measureDecisionCost } from "./measure_decision_cost.js";
import { measureDeployment } from "./measure_deployment.js";
import { measureDocumentCost } from "./measure_document_cost.js";
import { measureEntryCost } from "./measure_entry_cost.js";
import { measureFleetCost } from "./measure_fleet_cost.js";

const DEFAULT_SEEDS = "1,2,3";
const DEFAULT_FLEET_SIZES = [3, 9, 27];

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

const cli = cac("measure");
cli
  .command("", "Replay the trace of each deployment under each policy")
  .option("--seeds <list>", "Comma-separated seeds", { default: DEFAULT_SEEDS })
  .option("--deployment <name>", "Measure only this deployment")
  .action((flags: { readonly seeds: string; readonly deployment?: string }) => {
    const seeds = String(flags.seeds).split(",").map(Number);
    for (const deployment of DEPLOYMENTS) {
      if (flags.deployment && flags.deployment !== deployment.name) continue;
      measureDeployment(deployment, seeds, print);
    }
  });
cli
  .command("capacity", "Measure the costs that docs/CAPACITY.md is based on")
  .action(async () => {
    measureDecisionCost(print);
    measureDocumentCost(print);
    await measureEntryCost(print);
    await measureFleetCost(DEFAULT_FLEET_SIZES, print);
  });
cli
  .command(
    "fleet <sizes>",
    "Measure control-plane cost for comma-separated fleet sizes",
  )
  .action(async (sizes: string) => {
    await measureFleetCost(String(sizes).split(",").map(Number), print);
  });
cli.help();
cli.parse();
