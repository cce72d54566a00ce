/** Length estimates, admission, fair queue, placement, retry budgets. */
export type { Admission } from "./admission.js";
export { choosePlacement } from "./choose_placement.js";
export { choosePlainRunner } from "./choose_plain_runner.js";
export { FairQueue } from "./fair_queue.js";
export { GrowthCurve } from "./growth_curve.js";
export { GrowthProfile } from "./growth_profile.js";
export { HORIZONS_TOKENS } from "./horizons.js";
export { LengthDistribution } from "./length_distribution.js";
export { LengthModel } from "./length_model.js";
export type { PlacementDecision } from "./placement_decision.js";
export type { PlacementFigures } from "./placement_figures.js";
export type { QueuedRequest } from "./queued_request.js";
export { RetryBudget } from "./retry_budget.js";
export { RunnerBook } from "./runner_book.js";
export { Scheduler } from "./scheduler.js";
export type { SchedulingRequest } from "./scheduling_request.js";
export { StreamLease } from "./stream_lease.js";
export { TurnTable } from "./turn_table.js";
