import type { MemoryForecast } from "./memory_forecast.js";
import { HORIZONS_TOKENS } from "./horizons.js";
import type { StreamLease } from "./stream_lease.js";

const SMOOTHING_FACTOR = 0.1;
const MIN_STREAMS = 3;
const INITIAL_DECAY_TOKENS = 600;

/**
 * Average probability that a stream still runs at each horizon, once over
 * streams and once over context tokens. Used to forecast peers' streams, of
 * which load reports give only count and total tokens. The streams of this
 * instance are a representative sample, since the load balancer spreads callers
 * evenly.
 */
export class SurvivalProfile {
  readonly #survivalByStream = HORIZONS_TOKENS.map(initialSurvival);
  readonly #survivalByToken = HORIZONS_TOKENS.map(initialSurvival);

  /** Updates the moving averages from the streams running now. */
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
      this.#survivalByStream[index] = smooth(
        this.#survivalByStream[index] ?? 0,
        byStream,
      );
      this.#survivalByToken[index] = smooth(
        this.#survivalByToken[index] ?? 0,
        byToken,
      );
    });
  }

  /** Adds streams known only by count and total tokens to a forecast. */
  addStreamsTo(
    forecast: MemoryForecast,
    streams: number,
    tokens: number,
  ): void {
    if (streams <= 0) return;
    HORIZONS_TOKENS.forEach((horizon, index) => {
      const byStream = this.#survivalByStream[index] ?? 0;
      const byToken = this.#survivalByToken[index] ?? 0;
      const meanTokens = tokens / streams + horizon;
      forecast.addAtHorizon(index, {
        mean: tokens * byToken + streams * horizon * byStream,
        variance: streams * byStream * (1 - byStream) * meanTokens * meanTokens,
      });
    });
  }
}

function initialSurvival(horizonTokens: number): number {
  return Math.exp(-horizonTokens / INITIAL_DECAY_TOKENS);
}

function smooth(average: number, sample: number): number {
  return average + SMOOTHING_FACTOR * (sample - average);
}
