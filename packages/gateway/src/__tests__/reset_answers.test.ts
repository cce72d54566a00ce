import type { Socket } from "node:net";
import { sleep } from "@jujubeladder/utils";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { connectToRawServer } from "./connect_to_raw_server.js";
import { stallProcess } from "./stall_process.js";

const BODY = "x".repeat(800);
const HEAD = "HTTP/1.1 200 OK\r\n";
const LENGTH = `${HEAD}content-length: ${BODY.length}\r\n\r\n${BODY}`;
const CHUNKS =
  `${HEAD}transfer-encoding: chunked\r\n\r\n` +
  `${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`;
const UNFRAMED = `${HEAD}\r\n${BODY}`;
const TIMES = 40;
const PAUSE_MS = 20;

/** How the reader of the answer is held up, if it is. */
const READERS = ["reads at once", "pauses", "is held up"] as const;
/** When the connection ends, seen from the last bytes. */
const MOMENTS = ["with them", "after them", "before the last"] as const;
type Answer = readonly [text: string, how: "fin" | "reset"];

async function send(
  socket: Socket,
  [text, how]: Answer,
  moment: (typeof MOMENTS)[number],
): Promise<void> {
  const end = () => (how === "fin" ? socket.end() : socket.resetAndDestroy());
  if (moment === "before the last") {
    socket.write(text.slice(0, -BODY.length / 2));
    end();
    return;
  }
  socket.write(text);
  if (moment === "after them") await sleep(PAUSE_MS);
  end();
}

/** Returns the length of the body that came as whole, or why it did not. */
async function read(
  answer: Answer,
  moment: (typeof MOMENTS)[number],
  reader: (typeof READERS)[number],
): Promise<string> {
  const { connection, stop } = await connectToRawServer((socket) => {
    void send(socket, answer, moment);
  });
  const outcome = await new Promise<string>((resolve) => {
    let length = 0;
    const request = { method: "GET", target: "/", headers: [], body: null };
    const exchange = connection.send(request, {
      onHead: () => {
        if (reader === "is held up") stallProcess(PAUSE_MS);
      },
      onData: (chunk) => {
        length += chunk.length;
        if (reader !== "pauses") return true;
        setTimeout(() => {
          exchange.resume();
        }, 2 * PAUSE_MS);
        return false;
      },
      onEnd: () => {
        resolve(`whole, ${length} bytes`);
      },
      onError: () => {
        resolve("broken");
      },
    });
  });
  connection.close();
  stop();
  return outcome;
}

const WHOLE = `whole, ${BODY.length} bytes`;

async function readOften(
  ...args: Parameters<typeof read>
): Promise<ReadonlySet<string>> {
  const outcomes = await Promise.all(
    Array.from({ length: TIMES }, () => read(...args)),
  );
  return new Set(outcomes);
}

for (const reader of READERS) {
  for (const moment of MOMENTS) {
    test(`an answer without a length is not whole after a reset ${moment}: the reader ${reader}`, async () => {
      const outcomes = await readOften([UNFRAMED, "reset"], moment, reader);
      assert.equal([...outcomes], ["broken"]);
    });
  }

  for (const moment of ["with them", "after them"] as const) {
    test(`an answer without a length is whole after an end ${moment}: the reader ${reader}`, async () => {
      const outcomes = await readOften([UNFRAMED, "fin"], moment, reader);
      assert.equal([...outcomes], [WHOLE]);
    });
  }

  for (const [name, text] of Object.entries({ LENGTH, CHUNKS })) {
    test(`an answer that its framing ends is whole, though a reset follows (${name}): the reader ${reader}`, async () => {
      const outcomes = await readOften([text, "reset"], "after them", reader);
      assert.equal([...outcomes], [WHOLE]);
    });
  }
}

test.run();
