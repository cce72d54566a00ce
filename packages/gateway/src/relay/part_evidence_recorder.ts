import type { PartQuarantine } from "@jujubeladder/coordination";
import type { Logger } from "@jujubeladder/logger";
import { mayHaveCrashedRunner } from "../decisions/may_have_crashed_runner.js";
import type { InterruptedRequest } from "./interrupted_request.js";

/** Records what requests tell of the prompt parts that they share. */
export class PartEvidenceRecorder {
  readonly #quarantine: PartQuarantine;
  readonly #onNews: () => void;
  readonly #logger: Logger;

  /** `onNews` runs when peers should learn of new evidence at once. */
  constructor(dependencies: {
    readonly quarantine: PartQuarantine;
    readonly onNews: () => void;
    readonly logger: Logger;
  }) {
    this.#quarantine = dependencies.quarantine;
    this.#onNews = dependencies.onNews;
    this.#logger = dependencies.logger;
  }

  /** Records a crash of the runner that the request was interrupted by. */
  recordCrash(request: InterruptedRequest, incarnationId: string): void {
    const { requestId, sharedPartIds, writingForMs } = request;
    if (sharedPartIds.length === 0 || !mayHaveCrashedRunner(writingForMs))
      return;
    const isNews = this.#quarantine.recordLoss(sharedPartIds, incarnationId);
    const status = this.#quarantine.status(sharedPartIds);
    this.#logger.warn("prompt_part_suspected", {
      request: requestId,
      incarnation: incarnationId,
      status: status.type,
      part: status.type === "clear" ? undefined : status.partId,
      lost_runners: status.type === "clear" ? 0 : status.lostRunners,
    });
    if (isNews) this.#onNews();
  }

  /** Records that a request began `ageMs` ago and its runner lived on. */
  recordLived(sharedPartIds: readonly string[], ageMs: number): void {
    if (sharedPartIds.length === 0) return;
    if (this.#quarantine.recordLived(sharedPartIds, ageMs)) this.#onNews();
  }
}
