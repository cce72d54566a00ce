import type { EngineService } from "./engine_service.js";
import type { PlainService } from "./plain_service.js";

/** A service that operators have created. */
export type Service = EngineService | PlainService;
