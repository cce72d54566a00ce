import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { connect } from "node:net";
import { sleep } from "@jujubeladder/utils";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { ActiveResponses } from "../entry/active_responses.js";

const test = suite("a body that waits for its turn");
/** More than Node.js buffers of a body that nobody reads. */
const BODY_BYTES = 400_000;
const SENT_BYTES = 300_000;
/** A run whose caller has left is to stop within half a second. */
const NOTICE_MS = 500;

let server: Server;

test.after.each(() => {
  server.closeAllConnections();
  server.close();
});

test("a caller that leaves is noticed though a request with a body waits behind", async () => {
  const responses = new ActiveResponses();
  let hasLeft = false;
  server = createServer((request, response) => {
    void responses.add(response).then((canBeSent) => {
      if (!canBeSent) return;
      request.resume();
      response.on("close", () => {
        hasLeft = true;
      });
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const caller = connect(port, "127.0.0.1");
  caller.on("error", () => undefined);
  const head = (path: string, length: number) =>
    `POST ${path} HTTP/1.1\r\nhost: x\r\ncontent-length: ${length}\r\n\r\n`;
  caller.write(head("/first", 0));
  await sleep(100);
  caller.write(head("/second", BODY_BYTES));
  caller.write(Buffer.alloc(SENT_BYTES));
  await sleep(200);
  assert.is(responses.count, 2);
  caller.destroy();
  await sleep(NOTICE_MS);
  assert.ok(hasLeft, "the first request's caller still counts as there");
  assert.is(responses.count, 0);
});

test.run();
