import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { Logger } from "@jujubeladder/logger";
import { createDocument } from "../__fixtures__/create_document.js";
import { ConfigView } from "../config_view.js";

const SEED = 7;

const documentArbitrary = fc
  .record({
    revision: fc.integer({ min: 1, max: 4 }),
    publishedAtMs: fc.integer({ min: 0, max: 2 }),
    weightStoreLoadsPerMinute: fc.integer({ min: 1, max: 3 }),
  })
  .map((changes) => JSON.stringify(createDocument(changes)));

test("converges on one document whatever the order of arrival", () => {
  fc.assert(
    fc.property(fc.array(documentArbitrary, { minLength: 1 }), (texts) => {
      const forward = new ConfigView(new Logger({}));
      const backward = new ConfigView(new Logger({}));
      for (const text of texts) forward.applyIfNewer(text, "service");
      for (const text of [...texts].reverse())
        backward.applyIfNewer(text, "peer");
      assert.is(forward.hash, backward.hash);
    }),
    { seed: SEED },
  );
});

test("never returns to a lower revision", () => {
  fc.assert(
    fc.property(fc.array(documentArbitrary), (texts) => {
      const view = new ConfigView(new Logger({}));
      let previousRevision = 0;
      for (const text of texts) {
        view.applyIfNewer(text, "peer");
        assert.ok(view.revision >= previousRevision);
        previousRevision = view.revision;
      }
    }),
    { seed: SEED },
  );
});

test.run();
