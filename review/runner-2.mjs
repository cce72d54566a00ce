// A runner as a process of its own, which a case can kill. It streams events and
// ends an answer with its connection, without a length and without chunks.
//   runner-2.mjs HOST PORT ID EVENTS PAUSE_MS
import http from "node:http";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";

const [host, port, id, events, pauseMs] = process.argv.slice(2);
const born = Date.now();

const server = http.createServer(async (request, response) => {
  const { headers, socket, url } = request;
  const target = headers["x-jujubeladder-target-instance"];
  request.resume();
  if (url.startsWith("/-/")) {
    const body = JSON.stringify({ state: "ready", runs: [] });
    response.writeHead(url === "/-/report" ? 200 : 404).end(body);
    return;
  }
  if (target !== undefined && target !== id) {
    response.writeHead(421, { "x-jujubeladder-instance-id": id }).end();
    return;
  }
  const requestId = headers["x-jujubeladder-request-id"];
  process.stdout.write(`run ${requestId}\n`);
  let isOpen = true;
  socket.on("close", () => {
    isOpen = false;
  });
  response.useChunkedEncodingByDefault = false;
  response.writeHead(200, {
    "content-type": "text/event-stream",
    "x-jujubeladder-request-id": requestId,
    "x-jujubeladder-response-signature": `sig.${id}`,
    connection: "close",
  });
  for (let n = 1; n <= Number(events) && isOpen; n += 1) {
    response.write(`id: ${n}\ndata: piece ${n} of ${events}\n\n`);
    await sleep(Number(pauseMs));
  }
  if (!isOpen) return;
  process.stdout.write(`complete ${requestId}\n`);
  response.end();
});
server.listen(Number(port), host, () => {
  process.stdout.write(`listening ${born}\n`);
});
