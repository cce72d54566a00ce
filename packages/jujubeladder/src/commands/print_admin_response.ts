import process from "node:process";
import { request } from "undici";
import { describeError, parseJson } from "@jujubeladder/utils";
import { exitWithUsage } from "./exit_with_usage.js";

/** Requests an admin URL of an instance and prints the JSON response. */
export async function printAdminResponse(url: string): Promise<void> {
  try {
    const response = await request(url);
    const json = parseJson(await response.body.text());
    process.stdout.write(`${JSON.stringify(json, undefined, 2)}\n`);
  } catch (error) {
    exitWithUsage(`${url} does not answer: ${describeError(error)}`);
  }
}
