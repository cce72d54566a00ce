import type { ColdLimit } from "../model/cold_limit.js";

/** An address to listen on. */
interface Address {
  readonly host: string;
  readonly port: number;
}

/** Validated settings of one gateway instance. */
export interface GatewaySettings {
  readonly instanceName: string;
  readonly availabilityZone: string;
  readonly region: string;
  readonly callers: Address;
  readonly readiness: Address & { readonly path: string };
  readonly peers: Address;
  /** Initial peers, each as HOST:PORT. */
  readonly seeds: readonly string[];
  readonly metrics?: (Address & { readonly path: string }) | undefined;
  readonly retry: {
    readonly ratio: number;
    readonly fleetSlack: number;
    readonly windowMs: number;
  };
  /** True if no instance of the fleet has run before. */
  readonly isFirstStart: boolean;
  /**
   * API keys are rejected if the configuration was last confirmed longer ago
   * than this; undefined sets no limit.
   */
  readonly maxKeyConfigAgeMs: number | undefined;
  /** What the machine has for this process; absent values get defaults. */
  readonly machine?:
    | {
        readonly memoryBytes?: number | undefined;
        readonly maxDescriptors?: number | undefined;
      }
    | undefined;
  /** Limit of the fleet for cold runners; undefined sets none. */
  readonly coldLimit?: ColdLimit | undefined;
  /** For how long an entry of a runner is listed at least. */
  readonly runnerEntryLifetimeMs?: number | undefined;
  /** For how long the store keeps its history. */
  readonly storeHistoryMs?: number | undefined;
  /** Reads that the store takes a second from the whole fleet. */
  readonly storeReadsPerSecond?: number | undefined;
  /** Time between the stop signal and the forced kill of the process. */
  readonly stopGraceMs: number;
}
