import type { ServiceRoute } from "./service_route.js";

/** A service whose runners are plain HTTP back ends. */
export interface PlainService {
  readonly type: "plain";
  readonly serviceId: string;
  readonly routes: readonly ServiceRoute[];
}
