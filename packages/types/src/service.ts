import type { EngineService } from "./engine_service.js";
import type { PlainService } from "./plain_service.js";

/** A service that the configuration defines. */
export type Service = EngineService | PlainService;
