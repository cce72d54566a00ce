import { test } from "uvu";
import * as assert from "uvu/assert";
import { Logger } from "@jujubeladder/logger";
import { listen } from "@jujubeladder/standins";
import { sleep } from "@jujubeladder/utils";
import { InstanceListView } from "../instance_list_view.js";
import { PlatformClient } from "../platform_client.js";
import { watchInstances } from "../watch_instances.js";

const WAIT_MS = 50;
const READ_MS = 400;

const LOCATION = { region: "r1", availabilityZone: "z1", state: "live" };
const INSTANCE = {
  ...LOCATION,
  instanceId: "i1",
  host: "10.0.0.1",
  peerPort: 7_000,
};
const RUNNER = {
  ...LOCATION,
  runnerId: "r1",
  serviceId: "app",
  host: "10.0.0.2",
  port: 9_000,
};
const ODD_FIELDS: readonly Readonly<Record<string, unknown>>[] = [
  { host: "" },
  { host: "a b" },
  { host: "999.1.1.1" },
  { host: "x".repeat(10_000) },
  { host: 5 },
  { peerPort: 0, port: 0 },
  { peerPort: 99_999, port: 99_999 },
  { peerPort: 1.5, port: 1.5 },
  { peerPort: "80", port: "80" },
  { state: "odd" },
  { region: undefined },
  { instanceId: "", runnerId: "" },
  { instanceId: null, runnerId: null },
];

/** Reads a list as the watch does, for a while. */
async function read(list: unknown): Promise<InstanceListView> {
  const { server, port } = await listen((_request, response) => {
    response.end(JSON.stringify(list));
  }, 0);
  const baseUrl = `http://127.0.0.1:${port}`;
  const client = new PlatformClient({ baseUrl, waitMs: WAIT_MS });
  const view = new InstanceListView();
  const abort = new AbortController();
  const options = { logger: new Logger({}), signal: abort.signal };
  const watching = watchInstances(client, view, options);
  const endMs = performance.now() + READ_MS;
  while (view.list.version === 0 && performance.now() < endMs) await sleep(5);
  abort.abort();
  await watching;
  client.close();
  server.closeAllConnections();
  server.close();
  return view;
}

for (const odd of ODD_FIELDS) {
  const name = JSON.stringify(odd).slice(0, 50);
  test(`one odd entry doesn't hide the list's others (${name})`, async () => {
    const { list } = await read({
      version: 7,
      instances: [{ ...INSTANCE, instanceId: "odd", ...odd }, INSTANCE],
      runners: [{ ...RUNNER, runnerId: "odd", ...odd }, RUNNER],
    });
    assert.is(list.version, 7);
    assert.equal(list.instances, [INSTANCE]);
    assert.equal(list.runners, [RUNNER]);
  });
}

test("an entry that is no object doesn't hide the list's others", async () => {
  for (const odd of [null, 5, "text", [], {}]) {
    const { list } = await read({
      version: 7,
      instances: [odd, INSTANCE],
      runners: [odd, RUNNER],
    });
    assert.equal(list.instances, [INSTANCE], JSON.stringify(odd));
    assert.equal(list.runners, [RUNNER], JSON.stringify(odd));
  }
});

test("a list without a version or its parts is not read", async () => {
  const parts = { instances: [INSTANCE], runners: [RUNNER] };
  for (const odd of [null, [], { version: 7 }, { ...parts, version: 0.5 }]) {
    assert.is((await read(odd)).list.version, 0, JSON.stringify(odd));
  }
});

test.run();
