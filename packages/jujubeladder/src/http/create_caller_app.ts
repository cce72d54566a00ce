import express, {
  type ErrorRequestHandler,
  type Express,
  type Request,
  type RequestHandler,
  type Response,
} from "express";
import { describeError } from "@jujubeladder/utils";
import type { CallerContext } from "./caller_context.js";
import { handleChat } from "./handle_chat.js";
import { handleMintTicket } from "./handle_mint_ticket.js";
import { handlePlain } from "./handle_plain.js";
import { handleRunTicket } from "./handle_run_ticket.js";
import { sendError } from "./send_error.js";

const BODY_LIMIT = "1mb";

/** Endpoints for callers: chat completions, tickets and plain services. */
export function createCallerApp(context: CallerContext): Express {
  const app = express();
  app.disable("x-powered-by");
  const json = express.json({ limit: BODY_LIMIT, type: () => true });
  const raw = express.raw({ limit: BODY_LIMIT, type: () => true });

  const chat: RequestHandler = async (req, res) => {
    await handleChat(context, req, res);
  };
  app.post("/v1/chat/completions", json, chat);
  app.get("/v1/chat/completions", chat);
  app.get("/v1/models", (_req, res) => {
    sendModels(context, res);
  });
  app.post("/v1/tickets", json, (req, res) => {
    handleMintTicket(context, req, res);
  });
  app.put("/v1/tickets/:ticket", raw, async (req, res) => {
    await handleRunTicket(context, req, res);
  });
  app.use("/v1/services/:service", raw, async (req: Request, res: Response) => {
    await handlePlain(context, req, res);
  });
  app.use((req, res) => {
    sendError(res, {
      statusCode: 404,
      type: "unknown_path",
      message: `There is no ${req.method} ${req.path}`,
    });
  });
  app.use(createErrorHandler(context));
  return app;
}

function sendModels(context: CallerContext, res: Response): void {
  const services = context.configView.document?.services ?? [];
  const data = services
    .filter((service) => service.type === "engine")
    .map((service) => ({ id: service.serviceId, object: "model" }));
  res.json({ object: "list", data });
}

function createErrorHandler(context: CallerContext): ErrorRequestHandler {
  return (error, _req, res, next) => {
    if (res.headersSent) {
      next(error);
      return;
    }
    const statusCode = (error as { status?: number }).status ?? 500;
    const isClientError = statusCode >= 400 && statusCode < 500;
    if (!isClientError) {
      const reason = describeError(error);
      context.logger.error("request_failed", { reason });
    }
    sendError(res, {
      statusCode,
      type: statusCode === 413 ? "too_large" : "invalid_request",
      message: isClientError
        ? describeError(error)
        : "An internal error occurred",
      outcome: isClientError ? "not_run" : "may_have_run",
    });
  };
}
