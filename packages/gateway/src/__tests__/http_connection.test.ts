import { execFileSync } from "node:child_process";
import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { HttpConnection } from "../transport/http_connection.js";

const TIMEOUT_MS = 20_000;

/** Prints the CommonJS modules that a module has loaded. */
const LIST_MODULES = `
  await import(process.argv[1]);
  const { createRequire } = await import("node:module");
  console.log(Object.keys(createRequire(process.cwd() + "/").cache).join("\\n"));
`;

test("nothing but undici's client is loaded for connections", () => {
  const url = new URL("../transport/http_connection.js", import.meta.url).href;
  const modules = execFileSync(
    process.execPath,
    ["--input-type=module", "--eval", LIST_MODULES, url],
    { encoding: "utf8", timeout: TIMEOUT_MS },
  );
  assert.match(modules, /undici\/lib\/dispatcher\/client\.js$/m);
  assert.not.match(modules, /undici\/(?:index|lib\/(?:api|mock|web))/);
});

for (const [host, port] of [
  ["127.0.0.1", 99_999],
  ["127.0.0.1", -1],
  ["127.0.0.1", 0.5],
  ["127.0.0.1", Number.NaN],
  ["999.1.1.1", 0],
  ["255.255.255.255", 1],
  ["no host", 1],
  ["", 0],
] as const) {
  test(`an address without a host or port fails the opening, not the process (${host}:${port})`, async () => {
    const opened = await HttpConnection.open(
      { host, port },
      { timeoutMs: 1_000 },
    );
    assert.not(opened.ok);
  });
}

test.run();
