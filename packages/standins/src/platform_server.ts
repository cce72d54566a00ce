import type { Server } from "node:http";
import express, { type Request, type Response } from "express";
import { listen } from "./listen.js";
import { PlatformView } from "./platform_view.js";
import { WeightStore } from "./weight_store.js";

const DEFAULT_VIEW = "default";

/**
 * Serves the platform's configuration, instance list and weight store.
 * Clients under /views/NAME read a separate view, so that tests can give each
 * instance different data.
 */
export class PlatformServer {
  readonly #views = new Map<string, PlatformView>();
  readonly #weightStore = new WeightStore();
  #server: Server | undefined;
  #readCount = 0;

  /** Returns a view; creates an empty one on first use. */
  view(name = DEFAULT_VIEW): PlatformView {
    const known = this.#views.get(name);
    if (known) return known;
    const created = new PlatformView();
    this.#views.set(name, created);
    return created;
  }

  /** Starts listening on loopback; 0 picks a free port. Returns the port. */
  async start(port: number): Promise<number> {
    const app = express();
    app.use(express.json({ limit: "16mb" }));
    for (const prefix of ["", "/views/:view"]) {
      app.get(`${prefix}/v1/configuration`, async (req, res) => {
        await this.#handleConfig(req, res);
      });
      app.get(`${prefix}/v1/instances`, async (req, res) => {
        await this.#handleInstances(req, res);
      });
    }
    app.get("/v1/weights/:model/:version", (_req, res) => {
      res.status(this.#weightStore.tryLoad() ? 200 : 429).end();
    });
    app.put("/admin/views/:view", (req, res) => {
      const view = this.view(req.params.view);
      const { configMode, listMode } = req.body;
      if (configMode !== undefined) view.setConfigMode(configMode);
      if (listMode !== undefined) view.setListMode(listMode);
      if (req.body.configText !== undefined) {
        view.setConfig(req.body.configText);
      }
      if (req.body.list !== undefined) view.setList(req.body.list);
      res.status(204).end();
    });
    app.put("/admin/weight-rate", (req, res) => {
      this.#weightStore.setRate(req.body.loadsPerMinute);
      res.status(204).end();
    });
    app.get("/truth", (_req, res) => {
      const weightStore = this.#weightStore.truth;
      res.json({ readCount: this.#readCount, weightStore });
    });
    const listening = await listen(app, port);
    this.#server = listening.server;
    return listening.port;
  }

  stop(): void {
    this.#server?.closeAllConnections();
    this.#server?.close();
  }

  async #handleConfig(req: Request, res: Response): Promise<void> {
    const known = Number(req.query["known_revision"]);
    await this.#handleWatch(req, res, "configMode", (view) => {
      const text = view.configText;
      const isKnown = text === "" || readRevision(text) === known;
      return isKnown ? undefined : text;
    });
  }

  async #handleInstances(req: Request, res: Response): Promise<void> {
    const known = Number(req.query["known_version"]);
    await this.#handleWatch(req, res, "listMode", (view) =>
      view.list.version === known ? undefined : JSON.stringify(view.list),
    );
  }

  async #handleWatch(
    req: Request,
    res: Response,
    mode: "configMode" | "listMode",
    read: (view: PlatformView) => string | undefined,
  ): Promise<void> {
    this.#readCount += 1;
    const name = req.params["view"];
    const view = this.view(typeof name === "string" ? name : DEFAULT_VIEW);
    if (view[mode] !== "down" && read(view) === undefined) {
      await view.waitForChange(Number(req.query["wait_ms"] ?? 0));
    }
    if (view[mode] === "down") {
      req.socket.destroy();
      return;
    }
    const text = read(view);
    if (text === undefined) res.status(204).end();
    else res.type("application/json").send(text);
  }
}

function readRevision(text: string): number | undefined {
  try {
    return (JSON.parse(text) as { revision?: number }).revision;
  } catch {
    return undefined;
  }
}
