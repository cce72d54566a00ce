import { PartQuarantine, Quarantine } from "@jujubeladder/coordination";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { indexRoutes } from "../decisions/index_routes.js";
import { admitRequest } from "../server/admit_request.js";

const ROUTE = {
  routeId: "read",
  host: "site.example",
  pathPrefix: "/read/",
  targets: [{ serviceId: "app", weight: 1 }],
  retryPolicy: { type: "idempotent" },
  timeoutMs: 3_000,
  targetLatencyMs: 1_000,
  priority: 1,
  maxAttempts: 2,
  isPublic: true,
} as const;

test("a body is hashed once, however often quarantine is asked", () => {
  const quarantine = new Quarantine(3);
  quarantine.recordLosses("another", ["e1"]);
  const body = Buffer.from("prompt");
  let hashCount = 0;
  body.toString = () => {
    hashCount += 1;
    return "prompt";
  };
  const admitted = admitRequest(
    {
      requestId: "r1",
      method: "POST",
      target: "/read/x",
      host: "site.example",
    } as Parameters<typeof admitRequest>[0],
    { response: {} as never, body, receivedAtMs: 0 },
    {
      activeConfig: {
        config: { authentication: { type: "none" } },
        routes: indexRoutes([ROUTE]),
        findService: () => ({ serviceId: "app" }),
        version: 1,
      } as never,
      quarantine,
      partQuarantine: new PartQuarantine(),
      maxKeyConfigAgeMs: undefined,
      exitAtMs: () => undefined,
    },
  );
  if (!admitted.ok) throw new Error(admitted.error.type);
  const { computeFingerprint } = admitted.value;
  assert.is(computeFingerprint(), computeFingerprint());
  assert.is(hashCount, 1);
});

test.run();
