import { once } from "node:events";
import { createServer } from "node:http";
import { connect, type AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { sleep } from "@jujubeladder/utils";
import { ActiveResponses } from "../entry/active_responses.js";

const TIMEOUT_MS = 2_000;

test("a response behind another on its connection does not hold up a stop for ever", async () => {
  const responses = new ActiveResponses();
  let requestCount = 0;
  const server = createServer((_, response) => {
    void responses.add(response);
    requestCount += 1;
    if (requestCount === 2) caller.destroy();
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const caller = connect(port, "127.0.0.1");
  caller.write("GET /1 HTTP/1.1\r\nhost: a\r\n\r\n".repeat(2));
  await once(caller, "close");
  const endMs = performance.now() + TIMEOUT_MS;
  while (responses.count > 0 && performance.now() < endMs) await sleep(10);
  server.close();
  assert.is(requestCount, 2);
  assert.is(responses.count, 0);
});

test.run();
