/** A fleet and the requests that crash its engines. */
export interface RequestFleetOptions {
  readonly instances: number;
  readonly engines: number;
  /** Sound requests aboard an engine that crashes. */
  readonly innocents: number;
  /** Different requests that crash engines, each sent again and again. */
  readonly guilty: number;
  /** Requests a second of a team that crashes one or two engines with each. */
  readonly noisePerSecond?: number;
  readonly lossShare?: number;
  /** Instances that restart, freeze or are cut off, by turns. */
  readonly troubles?: readonly ("restart" | "freeze" | "cut")[];
  readonly seed: number;
}
