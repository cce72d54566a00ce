import { maxElapsedMs, monotonicMs } from "@jujubeladder/utils";
import type { DepartedSoftware } from "../model/departed_software.js";
import type { GatewayRunner } from "../model/gateway_runner.js";
import { MAX_VIEW_AGE_MS } from "../model/max_view_age_ms.js";
import type { RunnerListRead } from "../model/runner_list_read.js";
import type { SoftwareHistory } from "../model/software_history.js";
import type { StorePosition } from "../model/store_position.js";

/** Longer than from the last listing of a runner until its streams are taken up. */
const RETENTION_MS = 40_000;
/** How far back all versions must be known to tell that there was only one. */
const REQUIRED_MS = 20_000;
const MAX_DEPARTED = 1_000;

/**
 * Which versions of its software each service has had lately, and for how long
 * this instance, or those that it heard it from, has known all of them.
 */
export class SoftwareSightings {
  readonly #listRunners: () => Iterable<GatewayRunner>;
  readonly #entryLifetimeMs: number;
  readonly #onGap: () => void;
  /** When each version that is not listed now was last sighted, by service. */
  readonly #departedAtMs = new Map<string, Map<string, number>>();
  #lastRead: RunnerListRead | undefined;
  /** The position from which on no change of the list was missed here. */
  #followedFrom: StorePosition | undefined;
  #knownSinceMs = Number.POSITIVE_INFINITY;

  /**
   * `listRunners` lists all runners that are listed, also those that leave. No
   * runner comes and goes within `entryLifetimeMs`. `onGap` is called when changes
   * of the list may have been missed.
   */
  constructor(
    listRunners: () => Iterable<GatewayRunner>,
    options: {
      readonly entryLifetimeMs: number;
      readonly onGap?: () => void;
    },
  ) {
    this.#listRunners = listRunners;
    this.#entryLifetimeMs = options.entryLifetimeMs;
    this.#onGap = options.onGap ?? (() => undefined);
  }

  /** For how long all versions have been known. */
  get knownForMs(): number {
    return Math.max(0, monotonicMs() - this.#knownSinceMs);
  }

  /** The position up to which the versions are known. */
  get knownUpTo(): StorePosition | undefined {
    return this.#lastRead?.asOf;
  }

  /** Records a read of the list. */
  recordRead(read: RunnerListRead): void {
    const last = this.#lastRead;
    this.#lastRead = read;
    if (last && !read.isWholeList) return;
    this.#followedFrom = read.asOf;
    const sinceLastMs = last
      ? Math.max(
          read.readAt.monotonicMs - last.readAt.monotonicMs,
          read.readAt.wallMs - last.readAt.wallMs,
        )
      : Number.POSITIVE_INFINITY;
    if (sinceLastMs <= this.#entryLifetimeMs) return;
    this.#knownSinceMs = read.readAt.monotonicMs;
    this.#onGap();
  }

  /** Records a runner that may not be listed here any more, or not yet. */
  recordSighting({ serviceId, softwareVersion }: GatewayRunner): void {
    this.#depart({ serviceId, softwareVersion, ageMs: 0 });
  }

  /**
   * Records what another source knows of the time before now. Only a source that
   * is as far as the first list here leaves no gap between them; returns whether it
   * is.
   */
  recordHistory(history: SoftwareHistory): boolean {
    for (const departed of history.departed) this.#depart(departed);
    const { knownForMs, knownUpTo } = history;
    const from = this.#followedFrom;
    const isJoined =
      from !== undefined &&
      knownUpTo?.era === from.era &&
      knownUpTo.revision >= from.revision;
    if (!isJoined) return false;
    const sinceMs = monotonicMs() - Math.min(knownForMs, RETENTION_MS);
    this.#knownSinceMs = Math.min(this.#knownSinceMs, sinceMs);
    return true;
  }

  /** Lists the versions that are not listed any more, for a peer. */
  listDeparted(): readonly DepartedSoftware[] {
    const nowMs = monotonicMs();
    return [...this.#departedAtMs].flatMap(([serviceId, versions]) =>
      [...versions].flatMap(([softwareVersion, atMs]) => {
        const ageMs = nowMs - atMs;
        return ageMs < RETENTION_MS
          ? [{ serviceId, softwareVersion, ageMs }]
          : [];
      }),
    );
  }

  /**
   * The only version that the service has had up to the last read of the list;
   * undefined if there were several, or may have been. Other instances may have
   * listed another one since, see `OnlyVersions`.
   */
  findOnlyListed(serviceId: string): string | undefined {
    if (this.knownForMs < REQUIRED_MS) return undefined;
    const versions = this.#listVersions(serviceId);
    const [only = ""] = versions;
    return versions.size === 1 && only !== "" ? only : undefined;
  }

  /** True unless a current list shows that the service has had one version. */
  mayHaveSeveral(serviceId: string): boolean {
    const ageMs = this.#lastRead && maxElapsedMs(this.#lastRead.readAt);
    return (
      ageMs === undefined ||
      ageMs > MAX_VIEW_AGE_MS ||
      this.findOnlyListed(serviceId) === undefined
    );
  }

  #listVersions(serviceId: string): ReadonlySet<string> {
    const versions = new Set<string>();
    for (const runner of this.#listRunners()) {
      if (runner.serviceId === serviceId) versions.add(runner.softwareVersion);
    }
    const sinceMs = monotonicMs() - RETENTION_MS;
    for (const [version, atMs] of this.#departedAtMs.get(serviceId) ?? []) {
      if (atMs >= sinceMs) versions.add(version);
    }
    return versions;
  }

  #depart({ serviceId, softwareVersion, ageMs }: DepartedSoftware): void {
    const versions = this.#departedAtMs.get(serviceId) ?? new Map();
    this.#departedAtMs.set(serviceId, versions);
    const atMs = monotonicMs() - ageMs;
    versions.set(
      softwareVersion,
      Math.max(atMs, versions.get(softwareVersion) ?? atMs),
    );
    this.#evictOld();
  }

  #evictOld(): void {
    const sinceMs = monotonicMs() - RETENTION_MS;
    for (const [serviceId, versions] of this.#departedAtMs) {
      for (const [version, atMs] of versions) {
        if (atMs < sinceMs || versions.size > MAX_DEPARTED)
          versions.delete(version);
      }
      if (versions.size === 0 || this.#departedAtMs.size > MAX_DEPARTED)
        this.#departedAtMs.delete(serviceId);
    }
  }
}
