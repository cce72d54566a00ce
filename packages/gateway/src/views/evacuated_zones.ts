import Emittery from "emittery";
import type { Logger } from "@jujubeladder/logger";
import { monotonicMs } from "@jujubeladder/utils";
import { compareStorePositions } from "../model/compare_store_positions.js";
import type { EvacuationUpdate } from "../model/evacuation_update.js";
import type { Evacuations } from "../model/evacuations.js";
import type { StorePosition } from "../model/store_position.js";

/**
 * After a restore, the operator writes again within this time; until then, a
 * zone that is missing from the copy counts as evacuated.
 */
const REWRITE_MS = 2_000;

interface Evacuation {
  readonly sinceMs: number;
  /** Set while the era that showed it has ended: when it is dropped. */
  readonly endsAtMs?: number;
}

/**
 * The availability zones whose runners get no requests, by the operator's word.
 * Learned from the store, or from peers that have read it later.
 */
export class EvacuatedZones {
  readonly events = new Emittery<{
    changed: undefined;
    /** A zone that was evacuated has been taken back. */
    returned: string;
  }>();
  readonly #logger: Logger;
  readonly #zones = new Map<string, Evacuation>();
  #asOf: StorePosition | undefined;

  constructor(logger: Logger) {
    this.#logger = logger;
  }

  get size(): number {
    this.#dropEnded();
    return this.#zones.size;
  }

  has(availabilityZone: string): boolean {
    if (this.#zones.size === 0) return false;
    this.#dropEnded();
    return this.#zones.has(availabilityZone);
  }

  /** Milliseconds since this instance learned of the zone's evacuation. */
  findAgeMs(availabilityZone: string): number | undefined {
    if (!this.has(availabilityZone)) return undefined;
    const { sinceMs } = this.#zones.get(availabilityZone) ?? {};
    return sinceMs === undefined ? undefined : monotonicMs() - sinceMs;
  }

  /** The state for peers; undefined before the first read. */
  describe(): Evacuations | undefined {
    this.#dropEnded();
    return this.#asOf && { zones: [...this.#zones.keys()], asOf: this.#asOf };
  }

  /** Applies a read of the store. */
  apply(update: EvacuationUpdate): void {
    switch (update.type) {
      case "list":
        this.#replace(update, "store");
        return;
      case "changes": {
        const { changes, asOf } = update;
        if (!this.#isLater(asOf)) return;
        this.#asOf = asOf;
        for (const { zone, isEvacuated } of changes) {
          if (isEvacuated) this.#add(zone, "store");
          else if (this.#zones.has(zone)) this.#drop(zone, "store");
        }
        if (changes.length > 0) void this.events.emit("changed");
      }
    }
  }

  /** Takes a peer's state over if it was read later than this instance's. */
  mergePeer(evacuations: Evacuations): void {
    if (this.#asOf && !this.#isLater(evacuations.asOf)) return;
    this.#replace(evacuations, "peer");
  }

  #isLater(asOf: StorePosition): boolean {
    return !this.#asOf || compareStorePositions(asOf, this.#asOf) > 0;
  }

  #replace({ zones, asOf }: Evacuations, source: "store" | "peer"): void {
    if (this.#asOf && compareStorePositions(asOf, this.#asOf) < 0) return;
    const isRestored = this.#asOf !== undefined && asOf.era > this.#asOf.era;
    this.#asOf = asOf;
    const nowMs = monotonicMs();
    const listed = new Set(zones);
    let hasChanged = false;
    for (const zone of listed) {
      if (this.#add(zone, source)) hasChanged = true;
    }
    for (const [zone, { sinceMs, endsAtMs }] of this.#zones) {
      if (listed.has(zone)) continue;
      if (isRestored) {
        this.#zones.set(zone, { sinceMs, endsAtMs: nowMs + REWRITE_MS });
      } else if (endsAtMs === undefined || endsAtMs <= nowMs) {
        this.#drop(zone, source);
        hasChanged = true;
      }
    }
    if (hasChanged) void this.events.emit("changed");
  }

  // Returns true if the zone is newly evacuated.
  #add(zone: string, source: "store" | "peer"): boolean {
    const known = this.#zones.get(zone);
    this.#zones.set(zone, { sinceMs: known?.sinceMs ?? monotonicMs() });
    if (known) return false;
    this.#logger.info("zone_evacuated", { zone, source, ...this.#asOf });
    return true;
  }

  #dropEnded(): void {
    if (this.#zones.size === 0) return;
    const nowMs = monotonicMs();
    for (const [zone, { endsAtMs }] of this.#zones) {
      if (endsAtMs === undefined || endsAtMs > nowMs) continue;
      this.#drop(zone, "restore");
      void this.events.emit("changed");
    }
  }

  #drop(zone: string, source: "store" | "peer" | "restore"): void {
    this.#zones.delete(zone);
    this.#logger.info("zone_returned", { zone, source });
    void this.events.emit("returned", zone);
  }
}
