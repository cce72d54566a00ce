import { RawServer } from "@jujubeladder/standins";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { SingleUseClient } from "../single_use_client.js";

const LIMITS = { headTimeoutMs: 1_000, silenceMs: 1_000 };

async function readStatus(status: string): Promise<number | "broken"> {
  const server = new RawServer((socket) => {
    socket.end(`HTTP/1.1 ${status} X\r\ncontent-length: 2\r\n\r\nok`);
  });
  const port = await server.start();
  const client = new SingleUseClient(`http://127.0.0.1:${port}`, LIMITS);
  try {
    return (await client.request({ method: "GET", path: "/" })).statusCode;
  } catch {
    return "broken";
  } finally {
    client.close();
    server.stop();
  }
}

for (const status of ["000", "099", "199", "600", "999", "2000"]) {
  test(`an answer with status ${status} is broken`, async () => {
    assert.is(await readStatus(status), "broken");
  });
}

for (const status of ["200", "404", "599"]) {
  test(`an answer with status ${status} is an answer`, async () => {
    assert.is(await readStatus(status), Number(status));
  });
}

test.run();
