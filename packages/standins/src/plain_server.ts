import type { Server } from "node:http";
import express, { type Request, type Response } from "express";
import { sleep } from "@jujubeladder/utils";
import { listen } from "./listen.js";
import type { PlainRun } from "./plain_run.js";

/** A plain service that records every request it executes. */
export class PlainServer {
  readonly #runnerId: string;
  readonly #runs: PlainRun[] = [];
  #server: Server | undefined;
  #isLeaving = false;

  constructor(runnerId: string) {
    this.#runnerId = runnerId;
  }

  /** Starts listening on loopback; 0 picks a free port. Returns the port. */
  async start(port: number): Promise<number> {
    const app = express();
    app.get("/truth", (_req, res) => {
      res.json({ runnerId: this.#runnerId, runs: this.#runs });
    });
    app.get("/v1/load", (_req, res) => {
      res.json({ isLeaving: this.#isLeaving });
    });
    app.post("/admin/leave", (_req, res) => {
      this.#isLeaving = true;
      res.status(204).end();
    });
    app.use(express.raw({ type: () => true, limit: "1mb" }));
    app.use(async (req, res) => {
      await this.#handleCall(req, res);
    });
    const listening = await listen(app, port);
    this.#server = listening.server;
    return listening.port;
  }

  stop(): void {
    this.#server?.closeAllConnections();
    this.#server?.close();
  }

  async #handleCall(req: Request, res: Response): Promise<void> {
    if (this.#isLeaving) {
      res.status(503).setHeader("x-not-run", "leaving");
      res.json({ error: { type: "refused", reason: "leaving" } });
      return;
    }
    const body = Buffer.isBuffer(req.body) ? req.body.toString("utf8") : "";
    this.#runs.push({
      requestId: req.get("x-request-id") ?? "",
      method: req.method,
      path: req.path,
      body,
      atMs: Date.now(),
    });
    const receipt = `${this.#runnerId}-${this.#runs.length}`;
    const delayMs = /delayMs=(\d+)/.exec(body)?.[1];
    if (delayMs !== undefined) await sleep(Number(delayMs));
    if (body.includes("reset-after-run")) {
      req.socket.resetAndDestroy();
      return;
    }
    res.json({ receipt, path: req.path });
  }
}
