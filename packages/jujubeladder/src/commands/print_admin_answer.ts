import process from "node:process";
import { request } from "undici";
import { describeError, parseJson } from "@jujubeladder/utils";
import { exitWithUsage } from "./exit_with_usage.js";

/** Asks an instance's admin port and prints the answer as JSON. */
export async function printAdminAnswer(url: string): Promise<void> {
  try {
    const answer = await request(url);
    const json = parseJson(await answer.body.text());
    process.stdout.write(`${JSON.stringify(json, undefined, 2)}\n`);
  } catch (error) {
    exitWithUsage(`${url} does not answer: ${describeError(error)}`);
  }
}
