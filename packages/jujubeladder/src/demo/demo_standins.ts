import {
  DEFAULT_ENGINE_OPTIONS,
  EngineServer,
  PlainServer,
  PlatformServer,
} from "@jujubeladder/standins";
import type { ConfigDocument, Instance, Runner } from "@jujubeladder/types";

const ENGINE_COUNT = 2;
const HOST = "127.0.0.1";
const REGION = "local";
const AVAILABILITY_ZONE = "local-1";

/** In-process stand-ins of the platform, the engines and a plain service. */
export class DemoStandins {
  readonly #platform = new PlatformServer();
  readonly #stops: (() => void)[] = [];

  /** Starts all servers; resolves with the platform's URL. */
  async start(
    document: ConfigDocument,
    instance: { readonly instanceId: string; readonly peerPort: number },
  ): Promise<string> {
    const runners: Runner[] = [];
    for (let number = 1; number <= ENGINE_COUNT; number += 1) {
      const runnerId = `engine-${number}`;
      const engine = new EngineServer({ ...DEFAULT_ENGINE_OPTIONS, runnerId });
      const port = await engine.start(0);
      this.#stops.push(() => {
        engine.stop();
      });
      runners.push(createRunner(runnerId, "writer", port));
    }
    const plain = new PlainServer("filing-1");
    const plainPort = await plain.start(0);
    runners.push(createRunner("filing-1", "filing", plainPort));
    const platformPort = await this.#platform.start(0);
    this.#stops.push(
      () => {
        plain.stop();
      },
      () => {
        this.#platform.stop();
      },
    );
    const view = this.#platform.view();
    view.setConfig(JSON.stringify(document));
    const self: Instance = {
      ...instance,
      host: HOST,
      region: REGION,
      availabilityZone: AVAILABILITY_ZONE,
      state: "live",
    };
    view.setList({ instances: [self], runners });
    return `http://${HOST}:${platformPort}`;
  }

  stop(): void {
    for (const stop of this.#stops) stop();
  }
}

function createRunner(
  runnerId: string,
  serviceId: string,
  port: number,
): Runner {
  return {
    runnerId,
    serviceId,
    port,
    host: HOST,
    region: REGION,
    availabilityZone: AVAILABILITY_ZONE,
    state: "live",
  };
}
