// Half of the runners break off a few of their answers, which have no length: they
// reset the connection in the middle of the body.
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
const STABLE_MS = 4_500;
const TRAFFIC_MS = 7_000;
/** When the runners begin to break off answers, and for how long. */
const TROUBLE_FROM_MS = 1_000;
const TROUBLE_MS = 5_000;
/** Requests at once. */
const CLIENT_COUNT = 6;
const WORK_MS = 15;
const BODY_BYTES = 800;
/** The share of its answers that a faulty runner breaks off: x = 0.05. */
const BREAK_EVERY = 20;

await runCase(FOLDER, async (record, keep) => {
  const store = keep(new Store());
  await store.start();
  const broken = new Set();
  let isTroubled = false;
  const createRunner = (runnerId, isFaulty) => {
    let answerCount = 0;
    return keep(
      new Runner(runnerId, {
        service: "app",
        record: { write: () => undefined },
        onRun: async ({ run, socket }) => {
          socket.on("error", () => undefined);
          await sleep(WORK_MS);
          const body = run.requestId.padEnd(BODY_BYTES, ".");
          const head = answerHead(run.requestId, ["Content-Type: text/plain"]);
          run.isEnded = true;
          if (isTroubled && isFaulty) answerCount += 1;
          if (answerCount >= BREAK_EVERY) {
            answerCount = 0;
            broken.add(run.requestId);
            record.write(
              `runner ${runnerId} writes ${BODY_BYTES / 2} of ${BODY_BYTES} ` +
                `bytes to ${run.requestId} and resets the connection`,
            );
            socket.write(head + body.slice(0, BODY_BYTES / 2));
            socket.resetAndDestroy();
          } else socket.end(head + body);
        },
      }),
    );
  };
  const runners = Array.from({ length: 12 }, (_, n) =>
    createRunner(`i-app-${n + 1}`, n % 2 === 0),
  );
  for (const runner of runners) await runner.start();
  store.put("op/config", createConfig());
  for (const runner of runners)
    store.put(`servers/${runner.runnerId}`, runner.entry);
  const gateway = keep(new Gateway(record));
  await gateway.start(store.port);
  await sleep(STABLE_MS);

  const startMs = performance.now();
  const elapsedMs = () => performance.now() - startMs;
  let next = 0;
  let mixed = 0;
  const statuses = new Map();
  const sendAll = async () => {
    while (elapsedMs() < TRAFFIC_MS) {
      next += 1;
      isTroubled =
        hasTrouble &&
        elapsedMs() >= TROUBLE_FROM_MS &&
        elapsedMs() < TROUBLE_FROM_MS + TROUBLE_MS;
      const requestId = `request-${next}`;
      const client = new Client(gateway.port);
      client.send("/submit/a", requestId, { deadlineMs: 5_000 });
      const length = () => /^content-length: (\d+)$/im.exec(client.head)?.[1];
      await waitUntil(
        `the answer to ${requestId}`,
        () =>
          client.closedAtMs !== undefined ||
          (length() !== undefined && client.body.length >= Number(length())),
      );
      const { status, body, head, hasEnded, hasReset } = client;
      client.leave();
      statuses.set(status, (statuses.get(status) ?? 0) + 1);
      const isFramed = /^(?:content-length|transfer-encoding):/im.test(head);
      const looksComplete = !isFramed && hasEnded && !hasReset;
      const isWhole = body === requestId.padEnd(BODY_BYTES, ".");
      if (status !== 200 || !looksComplete || isWhole) continue;
      mixed += 1;
      record.write(
        `${requestId}: status 200, no length, orderly end, ${body.length} of ` +
          `${BODY_BYTES} bytes, broken off by its runner ${broken.has(requestId)}`,
      );
    }
  };
  await Promise.all(Array.from({ length: CLIENT_COUNT }, sendAll));
  record.write(
    `${next} requests; statuses ${JSON.stringify([...statuses])}; ` +
      `${broken.size} answers were reset by the runner; ${mixed} of them came ` +
      "as complete successes",
  );
  return mixed > 0;
});
