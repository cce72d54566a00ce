import { test } from "uvu";
import * as assert from "uvu/assert";
import { RawServer } from "@jujubeladder/standins";
import { EngineClient } from "../engine_client.js";
import { PlainServiceClient } from "../plain_service_client.js";

const TIMEOUT_MS = 1_000;

/** Outcomes of one call of each client at a runner that sends these heads. */
async function callBoth(
  status: string,
  toHeaders: (id: string) => string,
): Promise<readonly [plain: string, engine: string]> {
  const server = new RawServer((socket, request) => {
    const id = /^x-(?:request|generation)-id: (.*)\r$/im.exec(request)?.[1];
    const headers = `${toHeaders(id ?? "")}content-length: 2\r\n\r\n{}`;
    socket.end(`HTTP/1.1 ${status}\r\n${headers}`);
  });
  const address = { host: "127.0.0.1", port: await server.start() };
  try {
    const plain = await new PlainServiceClient(address).call(
      {
        requestId: "r1",
        method: "POST",
        path: "/",
        contentType: "text/plain",
        body: new TextEncoder().encode("x"),
      },
      { timeoutMs: TIMEOUT_MS },
    );
    const engine = await new EngineClient(address).openGeneration(
      {
        requestId: "r1",
        serviceId: "s",
        teamId: "t",
        kindId: "k",
        messages: [],
        maxTokens: 1,
        isStreamed: true,
      },
      {
        generationId: "g1",
        priority: 0,
        prefixKey: "",
        silenceMs: TIMEOUT_MS,
        signal: new AbortController().signal,
      },
    );
    if (engine.type === "opened") engine.stream.close();
    return [plain.type, engine.type];
  } finally {
    server.stop();
  }
}

test("a refusal without an id or with the request's own is believed", async () => {
  const refused = ["refused", "refused"];
  const status = "503 Service Unavailable";
  assert.equal(await callBoth(status, () => "x-not-run: leaving\r\n"), refused);
  assert.equal(
    await callBoth(
      status,
      (id) =>
        `x-not-run: loading\r\nx-request-id: ${id}\r\nx-generation-id: ${id}\r\n`,
    ),
    refused,
  );
});

test("a refusal of another request proves nothing", async () => {
  const headers =
    "x-not-run: leaving\r\nx-request-id: r0\r\nx-generation-id: g0\r\n";
  assert.equal(await callBoth("503 Service Unavailable", () => headers), [
    "unknown",
    "unknown",
  ]);
});

test("a refusal with a status of success proves nothing", async () => {
  const outcomes = await callBoth("200 OK", () => "x-not-run: leaving\r\n");
  assert.is(outcomes[0], "unknown");
  assert.is.not(outcomes[1], "refused");
});

test.run();
