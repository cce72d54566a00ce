import { execFile } from "node:child_process";
import { once } from "node:events";
import { createServer } from "node:net";
import process from "node:process";
import { promisify } from "node:util";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { reservePort } from "../reserve_port.js";

const PROCESS_COUNT = 4;
const PORTS_PER_PROCESS = 500;
const MODULE = new URL("../reserve_port.js", import.meta.url).href;
// Holds its reservations until its standard input ends.
const RESERVER = `
  import { reservePort } from ${JSON.stringify(MODULE)};
  const ports = [];
  for (let n = 0; n < ${PORTS_PER_PROCESS}; n += 1)
    ports.push(await reservePort());
  console.log(JSON.stringify(ports));
  process.stdin.resume();
  process.stdin.on("end", () => process.exit());
`;

test("processes beside each other never reserve the same port", async () => {
  const run = promisify(execFile);
  const results: Promise<string>[] = [];
  const children = Array.from({ length: PROCESS_COUNT }, () => {
    const running = run(process.execPath, [
      "--input-type=module",
      "--eval",
      RESERVER,
    ]);
    results.push(running.then(({ stdout }) => stdout));
    return running.child;
  });
  await Promise.all(
    children.map(async ({ stdout }) =>
      once(stdout as NodeJS.ReadStream, "data"),
    ),
  );
  for (const { stdin } of children) stdin?.end();
  const ports = (await Promise.all(results)).flatMap(
    (text) => JSON.parse(text) as readonly number[],
  );
  assert.is(ports.length, PROCESS_COUNT * PORTS_PER_PROCESS);
  assert.is(new Set(ports).size, ports.length);
});

test("a reserved port stays free to listen on, again after a restart", async () => {
  const port = await reservePort();
  for (let start = 0; start < 2; start += 1) {
    const server = createServer().listen(port, "127.0.0.1");
    await once(server, "listening");
    server.close();
    await once(server, "close");
  }
});

test.run();
