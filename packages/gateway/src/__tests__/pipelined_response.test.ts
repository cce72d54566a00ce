import { once } from "node:events";
import { createServer } from "node:http";
import { connect, type AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { sleep } from "@jujubeladder/utils";
import { HttpCallerResponse } from "../server/http_caller_response.js";

const TIMEOUT_MS = 2_000;

test("a response behind another on its connection ends with that connection", async () => {
  const responses: HttpCallerResponse[] = [];
  const server = createServer((_, response) => {
    responses.push(new HttpCallerResponse(response, () => false));
    if (responses.length === 2) caller.destroy();
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const caller = connect(port, "127.0.0.1");
  caller.write("GET /1 HTTP/1.1\r\nhost: a\r\n\r\n".repeat(2));
  await once(caller, "close");
  const closed = Promise.all(responses.map(({ closed }) => closed));
  const hasClosed = await Promise.race([
    closed.then(() => true),
    sleep(TIMEOUT_MS).then(() => false),
  ]);
  server.close();
  assert.is(responses.length, 2);
  assert.ok(hasClosed, "it is active for ever");
  for (const { disconnectSignal } of responses)
    assert.ok(disconnectSignal.aborted);
});

test.run();
