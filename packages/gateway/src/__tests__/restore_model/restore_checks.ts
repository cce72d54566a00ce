import type { ModelInstance } from "./model_instance.js";
import type { ModelStore } from "./model_store.js";
import type { ModelWriters } from "./model_writers.js";
import type { RestoreViolation } from "./restore_violation.js";

/** From an acknowledgement, until all instances in touch act on it. */
const APPLY_MS = 2_500;
/** From the listing of a live runner, until it is used again. */
const RETURN_MS = 2_000;
/** Age of the confirmation above which keys are refused, and its bound. */
const MAX_KEY_AGE_MS = 4_000;
const REVOKE_MS = 5_000;
/** After a fault, an instance may be behind for this long. */
const RECOVERY_MS = 4_000;
const SERVICE_ID = "writer";

interface Known {
  readonly instance: ModelInstance;
  readonly startedAtMs: number;
  version: number;
  disturbedAtMs: number;
  /** Runners whose leave it has learned of. */
  readonly leaves: Set<string>;
}

/** Checks, tick by tick, what the instances of a model know. */
export class RestoreChecks {
  /** The instances concerned, by what is violated. */
  readonly #violations = new Map<RestoreViolation, Set<string>>();
  readonly #firstAtMs = new Map<RestoreViolation, number>();
  readonly #store: ModelStore;
  readonly #writers: ModelWriters;
  readonly #known = new Map<ModelInstance, Known>();
  /** Since when the store has listed a runner as ready, or not. */
  readonly #listedSinceMs = new Map<string, number>();
  readonly #unlistedSinceMs = new Map<string, number>();
  #configSince = { version: 0, atMs: 0 };
  #backAtMs = 0;

  constructor(store: ModelStore, writers: ModelWriters) {
    this.#store = store;
    this.#writers = writers;
  }

  /** A description of each kind of violation. */
  get violations(): ReadonlyMap<RestoreViolation, string> {
    return new Map(
      [...this.#violations].map(([kind, addresses]) => {
        const [first = ""] = addresses;
        const atMs = Math.round(this.#firstAtMs.get(kind) ?? 0);
        return [
          kind,
          `${addresses.size} instances, first ${first} at ${atMs} ms`,
        ];
      }),
    );
  }

  check(instances: readonly ModelInstance[]): void {
    const nowMs = performance.now();
    this.#recordStore(nowMs);
    for (const instance of instances) {
      if (!instance.isRunning) continue;
      const known = this.#find(instance, nowMs);
      if (instance.isCutFromStore || instance.isCutFromPeers) {
        known.disturbedAtMs = nowMs;
      }
      this.#checkVersion(known, nowMs);
      this.#checkRunners(known, nowMs);
    }
  }

  #recordStore(nowMs: number): void {
    const { data, isAway } = this.#store;
    if (isAway) this.#backAtMs = nowMs;
    const { version = 0 } = JSON.parse(data.config ?? "{}") as {
      readonly version?: number;
    };
    if (version !== this.#configSince.version) {
      this.#configSince = { version, atMs: nowMs };
    }
    for (const { runner } of this.#writers.listRunners()) {
      const { runnerId } = runner;
      const isListed = data.runners.get(runnerId)?.state === "live";
      const [since, other] = isListed
        ? [this.#listedSinceMs, this.#unlistedSinceMs]
        : [this.#unlistedSinceMs, this.#listedSinceMs];
      other.delete(runnerId);
      if (!since.has(runnerId)) since.set(runnerId, nowMs);
      // Nobody could read what was written just before an outage.
      const listedAtMs = this.#listedSinceMs.get(runnerId) ?? 0;
      if (isAway && isListed && nowMs - listedAtMs < RETURN_MS) {
        this.#listedSinceMs.set(runnerId, nowMs);
      }
    }
  }

  #find(instance: ModelInstance, nowMs: number): Known {
    const known = this.#known.get(instance) ?? {
      instance,
      startedAtMs: nowMs,
      version: 0,
      disturbedAtMs: nowMs,
      leaves: new Set<string>(),
    };
    this.#known.set(instance, known);
    return known;
  }

  #checkVersion(known: Known, nowMs: number): void {
    const { address, activeConfig } = known.instance;
    const { version, confirmedAgeMs } = activeConfig;
    if (version < known.version) this.#report("version_back", address);
    known.version = version;
    const dueVersion = Math.max(
      0,
      ...this.#writers.acknowledged
        .filter(({ atMs }) => atMs < nowMs - REVOKE_MS)
        .map((acknowledged) => acknowledged.version),
    );
    if (confirmedAgeMs <= MAX_KEY_AGE_MS && version < dueVersion) {
      this.#report("keys_of_old_version", address);
    }
    const inTouchSinceMs = Math.max(
      known.disturbedAtMs + RECOVERY_MS,
      this.#backAtMs + APPLY_MS,
    );
    if (nowMs <= inTouchSinceMs) return;
    const { version: stored, atMs } = this.#configSince;
    if (nowMs > atMs + APPLY_MS && version < stored) {
      this.#report("version_late", address);
    }
    if (nowMs > inTouchSinceMs + APPLY_MS && confirmedAgeMs > MAX_KEY_AGE_MS) {
      this.#report("keys_refused", address);
    }
  }

  #checkRunners(known: Known, nowMs: number): void {
    const { instance, disturbedAtMs, leaves } = known;
    const { address, directory } = instance;
    const usable = new Set(
      directory.listUsable(SERVICE_ID).map(({ runnerId }) => runnerId),
    );
    const readyAtMs = Math.max(disturbedAtMs + RECOVERY_MS, 0);
    for (const { runner, state } of this.#writers.listRunners()) {
      const { runnerId } = runner;
      const isUsable = usable.has(runnerId);
      const listedAtMs = this.#listedSinceMs.get(runnerId) ?? Infinity;
      const unlistedAtMs = this.#unlistedSinceMs.get(runnerId) ?? Infinity;
      if (state === "live") {
        const dueAtMs = Math.max(listedAtMs, readyAtMs) + RETURN_MS;
        if (!isUsable && nowMs > dueAtMs) {
          this.#report("live_runner_lost", address);
        }
        continue;
      }
      const isUndisturbed =
        !this.#store.isAway &&
        this.#backAtMs < unlistedAtMs &&
        readyAtMs < unlistedAtMs;
      if (isUndisturbed && nowMs > unlistedAtMs + APPLY_MS) {
        leaves.add(runnerId);
      }
      if (isUsable && leaves.has(runnerId)) {
        this.#report("gone_runner_used", address);
      }
      const seenAtMs = Math.max(unlistedAtMs, this.#backAtMs, readyAtMs);
      if (isUsable && nowMs > seenAtMs + APPLY_MS) {
        this.#report("list_differs", address);
      }
    }
  }

  #report(kind: RestoreViolation, address: string): void {
    const addresses = this.#violations.get(kind) ?? new Set();
    this.#violations.set(kind, addresses.add(address));
    if (!this.#firstAtMs.has(kind)) {
      this.#firstAtMs.set(kind, performance.now());
    }
  }
}
