import { once } from "node:events";
import { connect } from "node:net";
import { sleep } from "@jujubeladder/utils";
import { Client, request } from "undici";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { DemoFleet } from "../__fixtures__/demo_fleet.js";
import { EntryProcess } from "../__fixtures__/entry_process.js";

const test = suite("planned stop");
const SUBMISSIONS = "/v1/services/filing/submissions/x";
const CHAT = "/v1/chat/completions";
/** Longer than an instance lingers between its drain and its exit. */
const LONG_MS = 1_600;

let fleet: DemoFleet;
let daemon: EntryProcess | undefined;

test.before.each(() => {
  fleet = new DemoFleet();
});

test.after.each(async () => {
  await daemon?.stop();
  daemon = undefined;
});

function submission(delayMs: number, token: string) {
  return {
    method: "POST",
    path: SUBMISSIONS,
    headers: { authorization: `Bearer ${token}` },
    body: `delayMs=${delayMs}`,
  } as const;
}

async function startDaemon(acceptWhileLeavingMs = 0): Promise<EntryProcess> {
  daemon = new EntryProcess();
  await daemon.start(acceptWhileLeavingMs);
  return daemon;
}

/** Resolves with the status, or with 0 if there is no response. */
async function submit(url: string, token: string, delayMs: number) {
  const { path, ...options } = submission(delayMs, token);
  try {
    const response = await request(url + path, options);
    await response.body.dump();
    return response.statusCode;
  } catch {
    return 0;
  }
}

test("an answer while leaving closes its connection, so that no later request on it is cut", async () => {
  await fleet.start();
  const client = new Client(fleet.baseUrl);
  const first = client.request(submission(400, fleet.token));
  await sleep(150);
  const stopped = fleet.stop();
  const { headers, body } = await first;
  await body.dump();
  assert.is(headers["connection"], "close");
  await client.close();
  await stopped;
});

test("a request on a connection opened before the stop is not cut at the exit", async () => {
  await fleet.start();
  const socket = connect(Number(new URL(fleet.baseUrl).port), "127.0.0.1");
  await once(socket, "connect");
  let received = "";
  socket.on("data", (chunk) => {
    received += String(chunk);
  });
  const closed = once(socket, "close");
  const stopped = fleet.stop();
  await sleep(500);
  const body = `delayMs=${LONG_MS}`;
  socket.write(
    `POST ${SUBMISSIONS} HTTP/1.1\r\nhost: x\r\n` +
      `authorization: Bearer ${fleet.token}\r\n` +
      `content-length: ${body.length}\r\n\r\n${body}`,
  );
  await closed;
  await stopped;
  assert.match(received, /^HTTP\/1\.1 200 /);
  assert.match(received, /filing-1-1/);
});

test("a request behind another on its connection is not run and lost by a leaving instance", async () => {
  await fleet.start();
  const socket = connect(Number(new URL(fleet.baseUrl).port), "127.0.0.1");
  await once(socket, "connect");
  let received = "";
  socket.on("data", (chunk) => {
    received += String(chunk);
  });
  const closed = once(socket, "close");
  const send = () => {
    const body = "delayMs=300";
    socket.write(
      `POST ${SUBMISSIONS} HTTP/1.1\r\nhost: x\r\n` +
        `authorization: Bearer ${fleet.token}\r\n` +
        `content-length: ${body.length}\r\n\r\n${body}`,
    );
  };
  send();
  await sleep(100);
  const stopped = fleet.stop();
  send();
  send();
  await closed;
  await stopped;
  assert.is(received.match(/HTTP\/1\.1 200 /g)?.length, 3);
  assert.is(received.match(/connection: close/gi)?.length, 1);
});

test("a hangup does not cut requests", async () => {
  const { baseUrl, token } = await startDaemon();
  const answer = submit(baseUrl, token, 600);
  await sleep(200);
  daemon?.signal("SIGHUP");
  assert.is(await answer, 200);
});

test("further signals during a planned stop do not cut requests", async () => {
  const { baseUrl, token } = await startDaemon();
  const answer = submit(baseUrl, token, LONG_MS);
  await sleep(200);
  for (const signal of ["SIGTERM", "SIGTERM", "SIGINT", "SIGHUP"] as const) {
    daemon?.signal(signal);
    await sleep(100);
  }
  assert.is(await answer, 200);
  assert.is(await daemon?.waitForExit(), 0);
});

test("an instance that leaves for long answers requests that still arrive", async () => {
  const { baseUrl, token } = await startDaemon(2_000);
  daemon?.signal("SIGTERM");
  await sleep(1_500);
  const answer = await submit(baseUrl, token, 2 * LONG_MS);
  assert.is(answer, 200);
  assert.is(await daemon?.waitForExit(), 0);
});

test("a stream that its caller reads slowly is not cut by a planned stop", async () => {
  const { baseUrl, token } = await startDaemon();
  const response = await request(baseUrl + CHAT, {
    method: "POST",
    headers: {
      authorization: `Bearer ${token}`,
      "content-type": "application/json",
    },
    body: JSON.stringify({
      model: "writer",
      stream: true,
      messages: [{ role: "user", content: "len=300" }],
    }),
  });
  daemon?.signal("SIGTERM");
  await sleep(3_000);
  const text = await response.body.text();
  assert.ok(text.includes("data: [DONE]"));
  assert.is(await daemon?.waitForExit(), 0);
});

test("a request on a kept connection is not reset when an instance stops accepting", async () => {
  await fleet.start();
  const client = new Client(fleet.baseUrl);
  const first = await client.request(submission(0, fleet.token));
  await first.body.dump();
  const stopped = fleet.stop();
  await sleep(300);
  const { statusCode, headers, body } = await client.request(
    submission(0, fleet.token),
  );
  await body.dump();
  assert.is(statusCode, 200);
  assert.is(headers["connection"], "close");
  await client.close();
  await stopped;
});

test("requests that wait for a place when a planned stop begins are served", async () => {
  const { baseUrl, adminUrl, token } = await startDaemon();
  const complete = async () => {
    const response = await request(baseUrl + CHAT, {
      method: "POST",
      headers: {
        authorization: `Bearer ${token}`,
        "content-type": "application/json",
      },
      body: JSON.stringify({
        model: "writer",
        messages: [{ role: "user", content: "len=200" }],
      }),
    });
    await response.body.dump();
    return response.statusCode;
  };
  const count = 60;
  const statuses = Promise.all(Array.from({ length: count }, complete));
  for (let active = 0; active < count;) {
    const response = await request(`${adminUrl}/status`);
    const status = (await response.body.json()) as { activeRequests: number };
    active = status.activeRequests;
    await sleep(20);
  }
  daemon?.signal("SIGTERM");
  assert.equal([...new Set(await statuses)], [200]);
  assert.is(await daemon?.waitForExit(), 0);
});

test.run();
