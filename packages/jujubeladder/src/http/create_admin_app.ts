import express, { type Express } from "express";
import type { Metrics } from "@jujubeladder/metrics";
import type { Explanation } from "../entry/explanation.js";

/** Dependencies of the admin endpoints. */
interface AdminContext {
  readonly metrics: Metrics;
  readonly isReady: () => boolean;
  readonly describeStatus: () => Readonly<Record<string, unknown>>;
  readonly explain: (query: Readonly<Record<string, unknown>>) => Explanation;
}

/** Admin endpoints: liveness, readiness, metrics, status and explain. */
export function createAdminApp(context: AdminContext): Express {
  const app = express();
  app.disable("x-powered-by");
  app.get("/healthz", (_req, res) => {
    res.type("text/plain").send("alive\n");
  });
  app.get("/readyz", (_req, res) => {
    const isReady = context.isReady();
    res.status(isReady ? 200 : 503).type("text/plain");
    res.send(isReady ? "ready\n" : "not ready\n");
  });
  app.get("/metrics", (_req, res) => {
    res.type("text/plain").send(context.metrics.toPrometheusText());
  });
  app.get("/metrics.json", (_req, res) => {
    res.json(context.metrics.toJson());
  });
  app.get("/status", (_req, res) => {
    res.json(context.describeStatus());
  });
  app.get("/explain", (req, res) => {
    res.json(context.explain(req.query));
  });
  return app;
}
