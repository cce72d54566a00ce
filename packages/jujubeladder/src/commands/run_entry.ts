import process from "node:process";
import { describeError } from "@jujubeladder/utils";
import { EntryInstance } from "../entry/entry_instance.js";
import { loadSettings } from "../settings/load_settings.js";
import { exitWithUsage } from "./exit_with_usage.js";

/** `jujubeladder entry`: serves until SIGTERM or SIGINT, then drains. */
export async function runEntry(
  flags: Readonly<Record<string, unknown>>,
): Promise<void> {
  const settings = loadSettings(flags, process.env);
  if (!settings.ok) {
    exitWithUsage(settings.error);
    return;
  }
  const instance = new EntryInstance(settings.value);
  let stopped: Promise<void> | undefined;
  const stop = () => {
    stopped ??= instance.stop().then(() => process.exit(0));
  };
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
  // Without a listener, a hangup ends the process and cuts what runs.
  process.on("SIGHUP", () => undefined);
  try {
    await instance.start();
  } catch (error) {
    process.stderr.write(
      `jujubeladder: the instance cannot start: ${describeError(error)}\n`,
    );
    process.exit(1);
  }
}
