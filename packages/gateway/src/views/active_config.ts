import Emittery from "emittery";
import type { Logger } from "@jujubeladder/logger";
import {
  maxElapsedMs,
  monotonicMs,
  sha256Hex,
  type ClockReading,
} from "@jujubeladder/utils";
import { indexRoutes } from "../decisions/index_routes.js";
import type { RouteIndex } from "../decisions/route_index.js";
import type { CallerAuthentication } from "../model/caller_authentication.js";
import type { GatewayCodec } from "../model/gateway_codec.js";
import type { GatewayConfig } from "../model/gateway_config.js";
import type { GatewayTeam } from "../model/gateway_team.js";
import type { Route } from "../model/route.js";
import type { RoutedService } from "../model/routed_service.js";
import { ChangeSignal } from "./change_signal.js";
import type { ConfigSource } from "./config_source.js";

/** For how long a fresh instance waits for a peer's word on its document. */
const START_WAIT_MS = 2_000;

interface ActiveState {
  readonly config: GatewayConfig;
  readonly text: string;
  readonly hash: string;
  readonly routes: RouteIndex;
  readonly teamsByKey: ReadonlyMap<string, GatewayTeam>;
  readonly teamsById: ReadonlyMap<string, GatewayTeam>;
  readonly servicesById: ReadonlyMap<string, RoutedService>;
  readonly shortestTargetsMs: ReadonlyMap<string, number>;
}

/**
 * The active configuration: the highest version received from any source, and
 * the time at which it was last confirmed to be the newest.
 */
export class ActiveConfig {
  readonly #changed = new ChangeSignal();
  readonly events = new Emittery<{ changed: GatewayConfig }>();
  readonly #codec: GatewayCodec;
  readonly #logger: Logger;
  #active: ActiveState | undefined;
  #confirmedAt: ClockReading | undefined;
  /** The last confirmation heard of a document that isn't active here. */
  #otherConfirmed:
    { readonly hash: string; readonly at: ClockReading } | undefined;
  #readAt: ClockReading | undefined;
  #activeSinceMs: number | undefined;

  constructor(codec: GatewayCodec, logger: Logger) {
    this.#codec = codec;
    this.#logger = logger;
  }

  get config(): GatewayConfig | undefined {
    return this.#active?.config;
  }

  /** 0 before the first configuration. */
  get version(): number {
    return this.#active?.config.version ?? 0;
  }

  get routes(): RouteIndex {
    return this.#active?.routes ?? new Map();
  }

  /** The document as published, for peers with an older version. */
  get text(): string {
    return this.#active?.text ?? "";
  }

  get hash(): string {
    return this.#active?.hash ?? "";
  }

  /** Milliseconds since this was last confirmed to be the newest version. */
  get confirmedAgeMs(): number {
    return this.#confirmedAt
      ? maxElapsedMs(this.#confirmedAt)
      : Number.POSITIVE_INFINITY;
  }

  /** Milliseconds since the store was read, whatever it held. */
  get readAgeMs(): number {
    return this.#readAt ? maxElapsedMs(this.#readAt) : Number.POSITIVE_INFINITY;
  }

  /**
   * False on a start until some source has confirmed the version, or had the
   * time to: the store may have been restored just now.
   */
  get isSettled(): boolean {
    if (this.#confirmedAt) return true;
    return (
      this.#activeSinceMs !== undefined &&
      monotonicMs() - this.#activeSinceMs >= START_WAIT_MS
    );
  }

  /** Waits for a version above the given one while `shouldWait` holds. */
  async waitForVersionAbove(
    version: number,
    options: { readonly waitMs: number; readonly shouldWait: () => boolean },
  ): Promise<void> {
    const isDone = () => this.version > version || !options.shouldWait();
    await this.#changed.waitUntil(isDone, options.waitMs);
  }

  findTeam(apiKey: string): GatewayTeam | undefined {
    return this.#active?.teamsByKey.get(apiKey);
  }

  findTeamById(teamId: string): GatewayTeam | undefined {
    return this.#active?.teamsById.get(teamId);
  }

  /** The shortest latency target of the streams that go to a service. */
  findShortestTargetMs(serviceId: string): number | undefined {
    return this.#active?.shortestTargetsMs.get(serviceId);
  }

  findService(serviceId: string): RoutedService | undefined {
    return this.#active?.servicesById.get(serviceId);
  }

  /**
   * Activates a valid document if its version is newer, or if a peer's
   * confirmation shows that it was written later under the same version; true if
   * it did.
   */
  applyIfNewer(text: string, source: ConfigSource): boolean {
    const config = this.#decodeOther(text, source);
    if (!config || this.#isOlder(config, source)) return false;
    if (config.version === this.version && !this.#isConfirmedLater(text)) {
      return false;
    }
    this.#activate(config, text, source);
    return true;
  }

  /**
   * Activates a valid document that the store holds now, unless its version is
   * older. Under one version the store's last write counts.
   */
  applyStored(text: string): void {
    const config = this.#decodeOther(text, "store");
    if (!config || this.#isOlder(config, "store")) return;
    this.#activate(config, text, "store");
  }

  #decodeOther(text: string, source: ConfigSource): GatewayConfig | undefined {
    if (text === this.#active?.text) return undefined;
    const decoded = this.#codec.decodeConfig(text);
    if (decoded.ok) return decoded.value;
    this.#logger.warn("configuration_refused", {
      source,
      reason: decoded.error,
      version_in_force: this.version,
    });
    return undefined;
  }

  #isOlder({ version }: GatewayConfig, source: ConfigSource): boolean {
    if (version >= this.version) return false;
    if (source === "store") {
      this.#logger.warn("store_configuration_older", {
        version,
        version_in_force: this.version,
      });
    }
    return true;
  }

  #isConfirmedLater(text: string): boolean {
    const { hash, at } = this.#otherConfirmed ?? {};
    if (!at || hash !== sha256Hex(text)) return false;
    return maxElapsedMs(at) < this.confirmedAgeMs;
  }

  #activate(config: GatewayConfig, text: string, source: ConfigSource): void {
    this.#activeSinceMs ??= monotonicMs();
    const teams = listTeams(config.authentication);
    this.#active = {
      config,
      text,
      hash: sha256Hex(text),
      routes: indexRoutes(config.routes),
      teamsByKey: new Map(
        teams.flatMap((team) => team.apiKeys.map((key) => [key, team])),
      ),
      teamsById: new Map(teams.map((team) => [team.teamId, team])),
      servicesById: new Map(config.services.map((s) => [s.serviceId, s])),
      shortestTargetsMs: findShortestTargets(config.routes),
    };
    const { hash, at } = this.#otherConfirmed ?? {};
    if (at && hash === this.#active.hash) this.confirm(at);
    this.#logger.info("configuration_in_force", {
      source,
      version: config.version,
      hash: this.#active.hash,
      routes: config.routes.length,
      authentication: config.authentication.type,
      teams: teams.length,
    });
    this.#changed.notify();
    void this.events.emit("changed", config);
  }

  /**
   * Records a peer's confirmation, which holds for the document with that hash:
   * it may become the active one later.
   */
  confirmDocument(hash: string, at: ClockReading): void {
    if (hash === this.#active?.hash) this.confirm(at);
    else this.#otherConfirmed = { hash, at };
  }

  /** Records a read of the store that was sent at `at`, or later. */
  recordRead(at: ClockReading): void {
    this.#readAt = laterOf(this.#readAt, at);
  }

  /**
   * Records that the active version was the newest at `at`, which must be no
   * later than the sending of the read that showed it.
   */
  confirm(at: ClockReading): void {
    this.#confirmedAt = laterOf(this.#confirmedAt, at);
  }
}

function listTeams(
  authentication: CallerAuthentication,
): readonly GatewayTeam[] {
  switch (authentication.type) {
    case "none":
      return [];
    case "api_key":
      return authentication.teams;
  }
}

function findShortestTargets(
  routes: readonly Route[],
): ReadonlyMap<string, number> {
  const shortest = new Map<string, number>();
  for (const { retryPolicy, targets, targetLatencyMs } of routes) {
    if (retryPolicy.type !== "stream") continue;
    for (const { serviceId } of targets) {
      const known = shortest.get(serviceId) ?? Number.POSITIVE_INFINITY;
      shortest.set(serviceId, Math.min(known, targetLatencyMs));
    }
  }
  return shortest;
}

function laterOf(
  known: ClockReading | undefined,
  at: ClockReading,
): ClockReading {
  return known && maxElapsedMs(known) <= maxElapsedMs(at) ? known : at;
}
