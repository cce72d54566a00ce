// The process is killed while clients receive streams that have neither a
// length nor chunks.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  answerHead,
  Client,
  createConfig,
  Gateway,
  hasTrouble,
  runCase,
  Runner,
  sleep,
  Store,
  waitUntil,
} from "../standins.mjs";

const FOLDER = dirname(fileURLToPath(import.meta.url));
const EVENT_COUNT = 233;
const EVENT_BYTES = 350;
const EVENT_INTERVAL_MS = 20;
const STABLE_MS = 4_500;
const KILL_AFTER_MS = 2_000;
const CLIENT_COUNT = 4;
const EVENT_END = "\n\n";

// "An answer, a stream too, may come with neither a length nor chunks and end
// with its connection."
async function writeStream({ run, socket }) {
  socket.on("error", () => undefined);
  const head = ["Content-Type: text/event-stream"];
  socket.write(answerHead(run.requestId, head));
  for (let id = 1; id <= EVENT_COUNT && !socket.destroyed; id += 1) {
    const start = `id: ${id}\ndata: `;
    socket.write(start.padEnd(EVENT_BYTES - 2, "x") + EVENT_END);
    await sleep(EVENT_INTERVAL_MS);
  }
  if (socket.destroyed) return;
  run.isEnded = true;
  socket.end();
}

await runCase(FOLDER, async (record, keep) => {
  const store = keep(new Store());
  await store.start();
  const llm = keep(
    new Runner("i-llm-1", { service: "llm", record, onRun: writeStream }),
  );
  await llm.start();
  store.put("op/config", createConfig());
  store.put("servers/i-llm-1", llm.entry);
  const gateway = keep(new Gateway(record));
  await gateway.start(store.port);
  await sleep(STABLE_MS);

  const clients = Array.from(
    { length: CLIENT_COUNT },
    () => new Client(gateway.port),
  );
  clients.forEach((client, n) => {
    client.send("/narrative/a", `stream-${n}`, { deadlineMs: 39_000 });
  });
  record.write(`${CLIENT_COUNT} clients ask for streams`);
  await sleep(KILL_AFTER_MS);
  if (hasTrouble) gateway.kill("SIGKILL");
  await waitUntil("the streams have ended", () =>
    clients.every((client) => client.closedAtMs !== undefined),
  );
  let early = 0;
  clients.forEach((client, n) => {
    const { head, body, hasEnded, hasReset } = client;
    const events = body.split(EVENT_END).length - 1;
    const isFramed = /^(?:content-length|transfer-encoding):/im.test(head);
    const looksComplete =
      client.status === 200 &&
      !isFramed &&
      hasEnded &&
      !hasReset &&
      body.endsWith(EVENT_END);
    if (looksComplete && events < EVENT_COUNT) early += 1;
    record.write(
      `stream-${n}: ${events} of ${EVENT_COUNT} events, length or chunks ` +
        `${isFramed}, orderly end ${hasEnded && !hasReset}, ends after a ` +
        `whole event ${body.endsWith(EVENT_END)}`,
    );
  });
  record.write(`${early} streams end early and look complete`);
  return early > 0;
});
