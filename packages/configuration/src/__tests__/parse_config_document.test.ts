import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ConfigDocument } from "@jujubeladder/types";
import { createDocument } from "../__fixtures__/create_document.js";
import { parseConfigDocument } from "../parse_config_document.js";
import { resolveSettings } from "../resolve_settings.js";

function firstKey(document: unknown): string | undefined {
  const parsed = parseConfigDocument(JSON.stringify(document));
  return parsed.ok ? undefined : parsed.error[0]?.key;
}

const exception = {
  exceptionId: "e",
  reason: "They asked for it",
  serviceId: "writer",
  settings: { maxTokens: 50 },
};

test("accepts a valid document", () => {
  assert.is(firstKey(createDocument()), undefined);
});

test("reports the key of an exception without a reason", () => {
  const exceptions = [{ ...exception, reason: " " }];
  assert.is(firstKey(createDocument({ exceptions })), "exceptions.0.reason");
});

test("refuses unknown keys, unknown scopes and duplicate ids", () => {
  const { services } = createDocument();
  assert.is(firstKey({ ...createDocument(), extra: 1 }), "$");
  const unknownScope = [{ ...exception, serviceId: "none" }];
  assert.is(
    firstKey(createDocument({ exceptions: unknownScope })),
    "exceptions.0.serviceId",
  );
  const duplicates = [...services, ...services] as ConfigDocument["services"];
  assert.is(firstKey(createDocument({ services: duplicates })), "services.1");
});

test("applies an exception only within its scope", () => {
  const document = createDocument({ exceptions: [exception] });
  const scope = { serviceId: "writer", teamId: "a" };
  assert.is(resolveSettings(document, scope).maxTokens, 50);
  const other = { serviceId: "other", teamId: "a" };
  assert.is(resolveSettings(document, other).maxTokens, 100);
});

test.run();
