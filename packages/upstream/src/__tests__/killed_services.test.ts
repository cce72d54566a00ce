import { RawServer } from "@jujubeladder/standins";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { PlainServiceClient } from "../plain_service_client.js";

const HEAD = "HTTP/1.1 200 OK\r\n";
const ANSWERS: Readonly<Record<string, string>> = {
  "no length": `${HEAD}\r\nhalf`,
  "an encoding that is no framing": `${HEAD}transfer-encoding: identity\r\n\r\nhalf`,
  "a length": `${HEAD}content-length: 4\r\n\r\nhalf`,
};

/** Calls a service that ends its connection, and its port if it is killed. */
async function call(answer: string, isKilled: boolean): Promise<string> {
  const server = new RawServer((socket) => {
    if (isKilled) server.stopListening();
    socket.end(answer);
  });
  const port = await server.start();
  const client = new PlainServiceClient({ host: "127.0.0.1", port });
  const outcome = await client.call(
    {
      requestId: "r1",
      method: "POST",
      path: "/",
      contentType: undefined,
      body: new Uint8Array(),
    },
    { timeoutMs: 1_000 },
  );
  server.stop();
  return outcome.type;
}

for (const [name, answer] of Object.entries(ANSWERS)) {
  const isFramed = name === "a length";
  test(`an answer whose service was killed is whole only by its framing (${name})`, async () => {
    assert.is(await call(answer, true), isFramed ? "answered" : "unknown");
  });

  test(`an answer whose service lives is whole (${name})`, async () => {
    assert.is(await call(answer, false), "answered");
  });
}

test.run();
