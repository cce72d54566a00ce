import type { OnlyVersion } from "../model/only_version.js";
import type { SoftwareSightings } from "./software_sightings.js";
import type { UnseenRunnerChanges } from "./unseen_runner_changes.js";

/**
 * Tells whether a service has had one software version only, up to the moment of
 * the question. The known list alone does not: a runner that it lacks may have
 * begun a stream.
 */
export class OnlyVersions {
  readonly #sightings: SoftwareSightings;
  readonly #unseen: Pick<UnseenRunnerChanges, "read">;

  constructor(
    sightings: SoftwareSightings,
    unseen: Pick<UnseenRunnerChanges, "read">,
  ) {
    this.#sightings = sightings;
    this.#unseen = unseen;
  }

  async find(serviceId: string): Promise<OnlyVersion> {
    if (this.#sightings.findOnlyListed(serviceId) === undefined)
      return { type: "several" };
    const changes = await this.#unseen.read();
    if (!changes) return { type: "not_confirmed" };
    for (const change of changes) {
      if (change.type === "put") this.#sightings.recordSighting(change.runner);
    }
    // The list may have changed while the store was asked.
    const softwareVersion = this.#sightings.findOnlyListed(serviceId);
    return softwareVersion === undefined
      ? { type: "several" }
      : { type: "one", softwareVersion };
  }
}
