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
  book(context: RequestContext, kind: RetryKind): RetryBooking | undefined {
    const booking = this.#tryBook(context, kind);
    if (!booking) this.#logRefusal(context, kind);
    return booking;
  }

  /** Returns a function that may be called again; logs its first refusal. */
  createBooker(
    context: RequestContext,
    kind: RetryKind,
  ): () => RetryBooking | undefined {
    let isLogged = false;
    return () => {
      const booking = this.#tryBook(context, kind);
      if (booking || isLogged) return booking;
      isLogged = true;
      this.#logRefusal(context, kind);
      return undefined;
    };
  }

  #tryBook(
    { service }: RequestContext,
    kind: RetryKind,
  ): RetryBooking | undefined {
    return this.#budget.book(service.serviceId, kind);
  }

  #logRefusal(
    { request, service: { serviceId } }: RequestContext,
    kind: RetryKind,
  ): void {
    const { spent, allowed } = this.#budget.getUse(serviceId);
    this.#logger.info("retry_refused", {
      request: request.requestId,
      service: serviceId,
      kind,
      spent,
      allowed,
    });
  }
}
