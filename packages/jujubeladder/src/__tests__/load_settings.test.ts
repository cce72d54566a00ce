import { test } from "uvu";
import * as assert from "uvu/assert";
import { loadSettings } from "../settings/load_settings.js";

const FLAGS = {
  instanceId: "entry-1",
  region: "r",
  availabilityZone: "r-1",
  platformUrl: "http://127.0.0.1:1",
  sealKeys: "a-secret-for-tests-only",
};

test("flags override environment variables, which override defaults", () => {
  const environment = { JUJUBELADDER_REGION: "e", JUJUBELADDER_PEER_PORT: "9" };
  const settings = loadSettings(FLAGS, environment);
  assert.ok(settings.ok);
  if (!settings.ok) return;
  assert.is(settings.value.region, "r");
  assert.is(settings.value.peerPort, 9);
  assert.is(settings.value.callerPort, 8080);
});

test("one error message lists each key, value and remedy, no secret", () => {
  const settings = loadSettings(
    { ...FLAGS, callerPort: "0", sealKeys: "tooshort", bogus: "1" },
    { JUJUBELADDER_BOGUS: "1" },
  );
  assert.not(settings.ok);
  if (settings.ok) return;
  assert.match(settings.error, '--caller-port is "0"');
  assert.match(settings.error, "set --caller-port or JUJUBELADDER_CALLER_PORT");
  assert.match(settings.error, "--bogus is unknown");
  assert.match(settings.error, "JUJUBELADDER_BOGUS is unknown");
  assert.not.match(settings.error, "tooshort");
});

test.run();
