import type { Logger } from "@jujubeladder/logger";
import type { Metrics } from "@jujubeladder/metrics";
import { firstDefined } from "@jujubeladder/utils";
import { isSameSoftware } from "../decisions/is_same_software.js";
import type { StreamOriginExchange } from "../mesh/stream_origin_exchange.js";
import type { StreamOrigin } from "../model/stream_origin.js";
import type { OnlyVersions } from "../views/only_versions.js";
import type { SoftwareSightings } from "../views/software_sightings.js";
import type { StreamOrigins } from "../views/stream_origins.js";
import type { RequestContext } from "./request_context.js";

/** Dependencies of the take-ups. */
interface TakeUpDependencies {
  readonly origins: StreamOrigins;
  readonly exchange: Pick<StreamOriginExchange, "tell" | "find">;
  readonly sightings: Pick<SoftwareSightings, "mayHaveSeveral">;
  readonly onlyVersions: Pick<OnlyVersions, "find">;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** Where a stream began, and who said so. */
interface FoundOrigin {
  readonly source: "own" | "peer" | "only_version" | "unknown";
  readonly origin?: StreamOrigin;
}

interface ActiveStream extends StreamOrigin {
  isTold: boolean;
}

/**
 * Finds the software version that began a stream that a caller takes up, and keeps
 * what that needs: an instance tells some others where its streams began while
 * their service may have several versions.
 */
export class StreamTakeUps {
  readonly #dependencies: TakeUpDependencies;
  readonly #active = new Map<string, ActiveStream>();

  constructor(dependencies: TakeUpDependencies) {
    this.#dependencies = dependencies;
  }

  /** True if the caller has events of the stream already. */
  isTakeUp({ request, route }: RequestContext): boolean {
    return (
      route.retryPolicy.type === "stream" &&
      request.lastEventId !== undefined &&
      (request.lastEventId > 0 || request.resumedRequestId !== undefined)
    );
  }

  /** Returns the version that began the stream; undefined if it is not known. */
  async findVersion(context: RequestContext): Promise<string | undefined> {
    const { origins, metrics, logger } = this.#dependencies;
    const { request, service } = context;
    const { serviceId } = service;
    const id = request.resumedRequestId;
    const own = id === undefined ? undefined : origins.find(id);
    const found: FoundOrigin = own
      ? { source: "own", origin: own }
      : ((await firstDefined([
          this.#askPeers(id),
          this.#askOnlyVersion(serviceId),
        ])) ?? { source: "unknown" });
    const { source, origin } = found;
    // The route may have moved to another service since.
    const version =
      origin?.serviceId === serviceId ? origin.softwareVersion : undefined;
    const isKnown = version !== undefined && isSameSoftware(version, version);
    metrics.count(isKnown ? "streams_taken_up" : "streams_not_taken_up");
    logger.info("stream_taken_up", {
      request: request.requestId,
      resumes: id,
      last_event_id: request.lastEventId,
      service: serviceId,
      software_version: version,
      source,
      began_at_service: origin?.serviceId,
    });
    return isKnown ? version : undefined;
  }

  async #askPeers(id: string | undefined): Promise<FoundOrigin | undefined> {
    if (id === undefined) return undefined;
    const origin = await this.#dependencies.exchange.find(id);
    return origin && { source: "peer", origin };
  }

  async #askOnlyVersion(serviceId: string): Promise<FoundOrigin | undefined> {
    const only = await this.#dependencies.onlyVersions.find(serviceId);
    this.#dependencies.metrics.count(`version_checks_${only.type}`);
    if (only.type !== "one") return undefined;
    const { softwareVersion } = only;
    return {
      source: "only_version",
      origin: { serviceId, softwareVersion },
    };
  }

  /** Records the first event of a stream here. */
  recordBegun(context: RequestContext, softwareVersion: string): void {
    const { serviceId } = context.service;
    const id = this.#findId(context);
    const origin = { serviceId, softwareVersion };
    this.#dependencies.origins.record(id, origin);
    this.#active.set(id, { ...origin, isTold: false });
    this.#tellIfNeeded(id);
  }

  recordEnded(context: RequestContext): void {
    this.#active.delete(this.#findId(context));
  }

  /** Tells of the streams that began before their service had several versions. */
  tellActive(): void {
    for (const id of this.#active.keys()) this.#tellIfNeeded(id);
  }

  // A new stream is recorded under its own id, whatever else its head names.
  #findId(context: RequestContext): string {
    const { requestId, resumedRequestId } = context.request;
    return this.isTakeUp(context) ? (resumedRequestId ?? requestId) : requestId;
  }

  #tellIfNeeded(id: string): void {
    const { sightings, exchange } = this.#dependencies;
    const stream = this.#active.get(id);
    if (!stream || stream.isTold) return;
    if (!sightings.mayHaveSeveral(stream.serviceId)) return;
    stream.isTold = true;
    const { serviceId, softwareVersion } = stream;
    exchange.tell(id, { serviceId, softwareVersion });
  }
}
