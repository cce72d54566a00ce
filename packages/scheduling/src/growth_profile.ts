import type { GrowthCurve } from "./growth_curve.js";
import { HORIZONS_TOKENS } from "./horizons.js";
import type { StreamLease } from "./stream_lease.js";

const SMOOTHING = 0.1;
const MIN_STREAMS = 3;
const INITIAL_DECAY_TOKENS = 600;

/**
 * How likely streams are to go on, by stream and by token held. The streams
 * of this instance are a fair sample of all, since the balancer spreads
 * callers evenly; of its peers' streams only number and total are reported.
 */
export class GrowthProfile {
  readonly #byStream = HORIZONS_TOKENS.map(initialSurvival);
  readonly #byToken = HORIZONS_TOKENS.map(initialSurvival);

  /** Takes in the streams that run now. */
  observe(leases: readonly StreamLease[]): void {
    if (leases.length < MIN_STREAMS) return;
    const tokens = leases.reduce((sum, lease) => sum + lease.contextTokens, 0);
    HORIZONS_TOKENS.forEach((horizon, index) => {
      let byStream = 0;
      let byToken = 0;
      for (const { distribution, producedTokens, contextTokens } of leases) {
        const survival = distribution.survival(producedTokens, horizon);
        byStream += survival / leases.length;
        byToken += (survival * contextTokens) / tokens;
      }
      this.#byStream[index] = smooth(this.#byStream[index] ?? 0, byStream);
      this.#byToken[index] = smooth(this.#byToken[index] ?? 0, byToken);
    });
  }

  /** Adds streams that are known only by their number and total. */
  addTo(curve: GrowthCurve, streams: number, tokens: number): void {
    if (streams <= 0) return;
    HORIZONS_TOKENS.forEach((horizon, index) => {
      const byStream = this.#byStream[index] ?? 0;
      const byToken = this.#byToken[index] ?? 0;
      const held = tokens / streams + horizon;
      curve.addAt(index, {
        mean: tokens * byToken + streams * horizon * byStream,
        variance: streams * byStream * (1 - byStream) * held * held,
      });
    });
  }
}

function initialSurvival(horizonTokens: number): number {
  return Math.exp(-horizonTokens / INITIAL_DECAY_TOKENS);
}

function smooth(before: number, now: number): number {
  return before + SMOOTHING * (now - before);
}
