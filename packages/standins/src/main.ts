import process from "node:process";
import { cac } from "cac";
import { DEFAULT_ENGINE_OPTIONS } from "./default_engine_options.js";
import { EngineServer } from "./engine_server.js";
import { PlainServer } from "./plain_server.js";
import { PlatformServer } from "./platform_server.js";

const cli = cac("jujubeladder-standin");

function announce(port: number): void {
  process.stdout.write(`event=listening port=${port}\n`);
}

cli
  .command("engine <runnerId>", "Serve a model engine")
  .option("--port <port>", "Port; 0 picks one", { default: 0 })
  .option("--options <json>", "Engine options", { default: "{}" })
  .action(async (runnerId: string, flags: Record<string, string>) => {
    const given = JSON.parse(flags["options"] ?? "{}") as object;
    const options = { ...DEFAULT_ENGINE_OPTIONS, ...given, runnerId };
    announce(await new EngineServer(options).start(Number(flags["port"])));
  });

cli
  .command("plain <runnerId>", "Serve a plain service")
  .option("--port <port>", "Port; 0 picks one", { default: 0 })
  .action(async (runnerId: string, flags: Record<string, string>) => {
    announce(await new PlainServer(runnerId).start(Number(flags["port"])));
  });

cli
  .command("platform", "Serve the platform's readers")
  .option("--port <port>", "Port; 0 picks one", { default: 0 })
  .action(async (flags: Record<string, string>) => {
    announce(await new PlatformServer().start(Number(flags["port"])));
  });

cli.parse();
