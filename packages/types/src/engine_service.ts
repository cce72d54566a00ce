import type { RequestKind } from "./request_kind.js";

/** A service whose runners are model engines. */
export interface EngineService {
  readonly type: "engine";
  readonly serviceId: string;
  readonly isIdempotent: boolean;
  readonly kinds: readonly RequestKind[];
}
