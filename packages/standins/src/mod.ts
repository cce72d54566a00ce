/** Small stand-ins of the platform, engines and plain services. */
export type { CacheEvent } from "./cache_event.js";
export { chooseOutputTokens } from "./choose_output_tokens.js";
export { DEFAULT_ENGINE_OPTIONS } from "./default_engine_options.js";
export { EngineModel } from "./engine_model.js";
export type { EngineModelStream } from "./engine_model_stream.js";
export type { EngineOptions } from "./engine_options.js";
export { EngineOrders } from "./engine_orders.js";
export { EngineServer } from "./engine_server.js";
export type { EngineStep } from "./engine_step.js";
export { Generation } from "./generation.js";
export type { GenerationTruth } from "./generation_truth.js";
export { listen } from "./listen.js";
export type { PlainRun } from "./plain_run.js";
export { PlainServer } from "./plain_server.js";
export type { PlatformMode } from "./platform_mode.js";
export { PlatformServer } from "./platform_server.js";
export { PlatformView } from "./platform_view.js";
export { WeightStore } from "./weight_store.js";
