import { LengthDistribution } from "./length_distribution.js";

const MIN_TEAM_SAMPLES = 48;
const MAX_TEAM_ENTRIES = 256;

/** Key by which output lengths are grouped. */
interface LengthKey {
  readonly serviceId: string;
  readonly kindId: string;
  readonly teamId: string;
}

/**
 * Length distributions by service, kind and team. A team with few samples
 * falls back to the distribution of its kind. Beyond MAX_TEAM_ENTRIES, the
 * least recently recorded team is evicted.
 */
export class LengthModel {
  readonly #byKind = new Map<string, LengthDistribution>();
  readonly #byTeam = new Map<string, LengthDistribution>();

  record(key: LengthKey, tokens: number): void {
    this.#findOrAddKind(key).record(tokens);
    this.#findOrAddTeam(key).record(tokens);
  }

  find(key: LengthKey): LengthDistribution {
    const ofTeam = this.#byTeam.get(teamKey(key));
    return ofTeam && ofTeam.sampleCount >= MIN_TEAM_SAMPLES
      ? ofTeam
      : this.#findOrAddKind(key);
  }

  #findOrAddKind(key: LengthKey): LengthDistribution {
    const name = `${key.serviceId}/${key.kindId}`;
    const known = this.#byKind.get(name);
    if (known) return known;
    const fresh = new LengthDistribution();
    this.#byKind.set(name, fresh);
    return fresh;
  }

  #findOrAddTeam(key: LengthKey): LengthDistribution {
    const name = teamKey(key);
    const distribution = this.#byTeam.get(name) ?? new LengthDistribution();
    this.#byTeam.delete(name);
    this.#byTeam.set(name, distribution);
    const [oldest] = this.#byTeam.keys();
    if (this.#byTeam.size > MAX_TEAM_ENTRIES && oldest !== undefined) {
      this.#byTeam.delete(oldest);
    }
    return distribution;
  }
}

function teamKey(key: LengthKey): string {
  return `${key.serviceId}/${key.kindId}/${key.teamId}`;
}
