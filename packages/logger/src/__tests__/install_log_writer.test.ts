import { execFileSync } from "node:child_process";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { test } from "uvu";
import * as assert from "uvu/assert";

const MODULE = fileURLToPath(new URL("../mod.js", import.meta.url));
const SCRIPT = `
  import { installLogWriter, Logger } from ${JSON.stringify(MODULE)};
  installLogWriter((line) => console.log(line));
  const logger = new Logger({ instance: "front-1" });
  const fields = { b: "x y", a: undefined, c: Infinity, d: 1.5, e: 2 };
  logger.info("request", fields);
  logger.warn("bare");
`;
const TIME = "time=\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d{3}Z";

test("a line has time, level and event before the fields", () => {
  // A process of its own, since roarr reads the variable once, on import.
  const output = execFileSync(
    process.execPath,
    ["--input-type=module", "--eval", SCRIPT],
    { encoding: "utf8", env: { ...process.env, ROARR_LOG: "true" } },
  );
  const [line = "", bare = ""] = output.split("\n");
  const request = "level=info event=request instance=front-1";
  assert.match(
    line,
    new RegExp(`^${TIME} ${request} b="x y" c=null d=1\\.500 e=2$`),
  );
  assert.match(
    bare,
    new RegExp(`^${TIME} level=warn event=bare instance=front-1$`),
  );
});

test.run();
