import Emittery from "emittery";
import type { Logger } from "@jujubeladder/logger";
import {
  elapsedAtMostMs,
  hashToken,
  type ClockReading,
} from "@jujubeladder/utils";
import { indexRoutes } from "../decisions/index_routes.js";
import type { RouteIndex } from "../decisions/route_index.js";
import type { GatewayCodec } from "../model/gateway_codec.js";
import type { GatewayConfig } from "../model/gateway_config.js";
import type { GatewayTeam } from "../model/gateway_team.js";
import type { RoutedService } from "../model/routed_service.js";
import { ChangeSignal } from "./change_signal.js";
import type { ConfigSource } from "./config_source.js";

interface Accepted {
  readonly config: GatewayConfig;
  readonly text: string;
  readonly hash: string;
  readonly routes: RouteIndex;
  readonly teamsByKey: ReadonlyMap<string, GatewayTeam>;
  readonly servicesById: ReadonlyMap<string, RoutedService>;
}

/**
 * The configuration in force: the highest version seen from any source, and
 * when it was last known to be the newest.
 */
export class ConfigInForce {
  readonly #changed = new ChangeSignal();
  readonly events = new Emittery<{ changed: GatewayConfig }>();
  readonly #codec: GatewayCodec;
  readonly #logger: Logger;
  #accepted: Accepted | undefined;
  #confirmedAt: ClockReading | undefined;

  constructor(codec: GatewayCodec, logger: Logger) {
    this.#codec = codec;
    this.#logger = logger;
  }

  get config(): GatewayConfig | undefined {
    return this.#accepted?.config;
  }

  /** 0 before the first configuration. */
  get version(): number {
    return this.#accepted?.config.version ?? 0;
  }

  get routes(): RouteIndex {
    return this.#accepted?.routes ?? new Map();
  }

  /** The configuration as it was published, for peers that are behind. */
  get text(): string {
    return this.#accepted?.text ?? "";
  }

  get hash(): string {
    return this.#accepted?.hash ?? "";
  }

  /** Milliseconds since this was known to be the newest configuration. */
  get confirmedAgeMs(): number {
    return this.#confirmedAt
      ? elapsedAtMostMs(this.#confirmedAt)
      : Number.POSITIVE_INFINITY;
  }

  /** Waits for a version above the given one while `mayWait` holds. */
  async waitBeyond(
    version: number,
    options: { readonly waitMs: number; readonly mayWait: () => boolean },
  ): Promise<void> {
    const isOver = () => this.version > version || !options.mayWait();
    await this.#changed.waitUntil(isOver, options.waitMs);
  }

  findTeam(apiKey: string): GatewayTeam | undefined {
    return this.#accepted?.teamsByKey.get(apiKey);
  }

  findService(serviceId: string): RoutedService | undefined {
    return this.#accepted?.servicesById.get(serviceId);
  }

  /** Takes a configuration in force if it is newer; true if it is. */
  offer(text: string, source: ConfigSource): boolean {
    if (text === this.#accepted?.text) return false;
    const decoded = this.#codec.decodeConfig(text);
    if (!decoded.ok) {
      this.#logger.warn("configuration_refused", {
        source,
        reason: decoded.error,
        version_in_force: this.version,
      });
      return false;
    }
    const config = decoded.value;
    if (config.version <= this.version) return false;
    this.#accepted = {
      config,
      text,
      hash: hashToken(text),
      routes: indexRoutes(config.routes),
      teamsByKey: new Map(
        config.teams.flatMap((team) => team.apiKeys.map((key) => [key, team])),
      ),
      servicesById: new Map(config.services.map((s) => [s.serviceId, s])),
    };
    this.#logger.info("configuration_in_force", {
      source,
      version: config.version,
      routes: config.routes.length,
      teams: config.teams.length,
    });
    this.#changed.notify();
    void this.events.emit("changed", config);
    return true;
  }

  /**
   * Notes that the version in force was the newest at `at`, which must be no
   * later than the sending of the read that showed it.
   */
  confirm(at: ClockReading): void {
    const known = this.#confirmedAt;
    if (!known || elapsedAtMostMs(at) < elapsedAtMostMs(known)) {
      this.#confirmedAt = at;
    }
  }
}
