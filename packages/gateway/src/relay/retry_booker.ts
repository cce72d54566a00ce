import type { Logger } from "@jujubeladder/logger";
import type { FleetRetryBudget } from "../decisions/fleet_retry_budget.js";
import type { RetryBooking } from "../decisions/retry_booking.js";
import type { RetryKind } from "../decisions/retry_kind.js";
import type { RequestContext } from "./request_context.js";

/** Books attempts of requests in the retry budget; logs those it refuses. */
export class RetryBooker {
  readonly #budget: FleetRetryBudget;
  readonly #logger: Logger;

  constructor(budget: FleetRetryBudget, logger: Logger) {
    this.#budget = budget;
    this.#logger = logger;
  }

  recordRequest({ service }: RequestContext): void {
    this.#budget.recordRequest(service.serviceId);
  }

  /** Returns undefined if the budget does not allow the attempt. */
  book(
    { request, service: { serviceId } }: RequestContext,
    kind: RetryKind,
  ): RetryBooking | undefined {
    const booking = this.#budget.book(serviceId, kind);
    if (booking) return booking;
    const { spent, allowed } = this.#budget.getUse(serviceId);
    this.#logger.info("retry_refused", {
      request: request.requestId,
      service: serviceId,
      kind,
      spent,
      allowed,
    });
    return undefined;
  }
}
