// The operator takes the only tenant's key away while its client stays connected,
// and the tenant without keys some seconds later. The client's requests must not
// run later than `revoke_ms` after the first of these versions.
import http from "node:http";
import {
  createConfig,
  Entry,
  hasTrouble,
  HOST,
  newId,
  ownHeaders,
  pickAddress,
  runCase,
  Runner,
  send,
  sleep,
  Store,
} from "../lib-2.mjs";

const KEY = "xd9dnn2ctnfzs989anu6";
const REVOKE_MS = 5_000;
const LENGTH_MS = 12_000;
const PAUSE_MS = 250;
const KEYED_RUNS = 8;
const TENANT_AFTER_MS = 3_000;

await runCase(async (record, onEnd) => {
  const host = pickAddress();
  const store = new Store();
  await store.listen(host);
  onEnd(() => store.close());
  const ran = [];
  const runner = new Runner({
    service: "app",
    onRun: (request, response) => {
      const { "x-jujubeladder-tenant": tenant } = request.headers;
      const id = request.headers["x-jujubeladder-request-id"];
      ran.push(id);
      record.add("runner runs", { id, tenant: tenant ?? "none" });
      response.writeHead(200, ownHeaders(request)).end("ok");
    },
  });
  await runner.listen(host);
  onEnd(() => runner.close());
  const route = {
    name: "r",
    host: HOST,
    prefix: "/a/",
    kind: "non_idempotent",
    timeout_ms: 800,
    target_latency_ms: 150,
    priority: 2,
    service: "app",
    max_attempts: 1,
    public: false,
  };
  const service = { name: "app", health_path: "/health", max_conns: 110 };
  const tenant = { name: "huka270", api_keys: [KEY], priority: 1 };
  const parts = { routes: [route], services: [service] };
  store.put("op/config", createConfig({ ...parts, tenants: [tenant] }));
  store.put(`servers/${runner.id}`, runner.entry());
  const entry = new Entry(record, { store });
  await entry.start();
  onEnd(() => entry.stop());
  await entry.waitReady();

  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  onEnd(() => agent.destroy());
  const sentAtMs = new Map();
  let takenAtMs = Number.POSITIVE_INFINITY;
  let isTenantGone = false;
  let { version } = createConfig();
  const publish = (...tenants) => {
    version += 4;
    store.put("op/config", createConfig({ ...parts, version, tenants }));
  };
  const untilMs = record.nowMs + LENGTH_MS;
  while (record.nowMs < untilMs) {
    const sinceMs = record.nowMs - takenAtMs;
    if (hasTrouble && ran.length === KEYED_RUNS && takenAtMs === Infinity) {
      publish({ ...tenant, api_keys: [] });
      takenAtMs = record.nowMs;
      record.add("the store has acknowledged a version without the key");
    } else if (sinceMs >= TENANT_AFTER_MS && !isTenantGone) {
      publish();
      isTenantGone = true;
      record.add("the store has acknowledged a version without the tenant");
    }
    const id = newId();
    sentAtMs.set(id, record.nowMs);
    const { statusCode } = await send({
      host: entry.ip,
      port: entry.front,
      method: "POST",
      path: "/a/1",
      agent,
      headers: {
        host: HOST,
        "x-jujubeladder-request-id": id,
        "x-jujubeladder-key": KEY,
        "x-jujubeladder-deadline-ms": "1500",
        "content-length": "2",
      },
      body: "{}",
    });
    record.add("client", { id, status: statusCode });
    await sleep(PAUSE_MS);
  }
  const late = ran.filter((id) => sentAtMs.get(id) > takenAtMs + REVOKE_MS);
  record.add("result", {
    sent: sentAtMs.size,
    ran: ran.length,
    ran_though_sent_later_than_revoke_ms: late.length,
  });
  if (!hasTrouble && ran.length < sentAtMs.size)
    throw new Error("a request did not run without a disruption");
  return late.length > 0;
});
