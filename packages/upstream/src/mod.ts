/** Clients of runners: model engines and plain services. */
export type { BreakCause } from "./break_cause.js";
export type { CacheEvents } from "./cache_events.js";
export { cacheEventsSchema } from "./cache_events_schema.js";
export { EngineClient } from "./engine_client.js";
export type { EngineEvent } from "./engine_event.js";
export type { EngineStream } from "./engine_stream.js";
export type { OpenOutcome } from "./open_outcome.js";
export type { PlainOutcome } from "./plain_outcome.js";
export { PlainServiceClient } from "./plain_service_client.js";
export { readBody } from "./read_body.js";
export type { RunnerAddress } from "./runner_address.js";
export { runnerLoadSchema } from "./runner_load_schema.js";
export { SingleUseClient } from "./single_use_client.js";
