import { test } from "uvu";
import * as assert from "uvu/assert";
import { createDemoDocument } from "../demo/demo_document.js";
import { explainPlacement } from "../entry/explain_placement.js";

const scheduler = {
  decide: () => ({ type: "held", reason: "no runner has room" }),
};

function explain(isIdempotent: boolean, maxAttempts: number): string {
  const document = createDemoDocument("token");
  const explained = explainPlacement(
    { service: "writer", team: "demo" },
    {
      ...document,
      defaults: { ...document.defaults, maxAttempts },
      services: document.services.map((service) =>
        service.type === "engine" ? { ...service, isIdempotent } : service,
      ),
    },
    () => scheduler as never,
  );
  assert.is(explained.type, "held");
  return "retries" in explained ? explained.retries : "";
}

test("explain tells when a request may be sent again", () => {
  assert.match(explain(true, 3), "at most 3 runners");
  assert.match(explain(true, 3), "even if it may have run");
  assert.match(explain(false, 3), "refused it or was sent no byte");
  assert.is(explain(false, 1), "never sent to a second runner");
});

test.run();
