import type { Request, Response } from "express";
import { resolveSettings } from "@jujubeladder/configuration";
import { createId } from "@jujubeladder/utils";
import { authenticateOrReject } from "./authenticate_or_reject.js";
import type { CallerContext } from "./caller_context.js";
import { findRoute } from "./find_route.js";
import { sendError } from "./send_error.js";
import { sendSubmissionResult } from "./send_submission_result.js";

/** Handles a call of a plain service: /v1/services/NAME/PATH. */
export async function handlePlain(
  context: CallerContext,
  req: Request,
  res: Response,
): Promise<void> {
  const caller = authenticateOrReject(req, res, context.configView);
  if (!caller) return;
  const { team, document } = caller;
  const serviceId = String(req.params["service"]);
  const path = req.url;
  const route = findRoute(document, { serviceId, method: req.method, path });
  if (!route) {
    sendError(res, {
      statusCode: 404,
      type: "unknown_route",
      message: `${serviceId} has no route ${req.method} ${path}`,
    });
    return;
  }
  const { teamId } = team;
  const result = await context.plainRelay.run(
    {
      requestId: req.get("idempotency-key") ?? createId(),
      serviceId,
      teamId,
      method: req.method,
      path,
      contentType: req.get("content-type"),
      body: Buffer.isBuffer(req.body) ? req.body : new Uint8Array(),
      isIdempotent: route.isIdempotent,
    },
    resolveSettings(document, { serviceId, teamId }),
  );
  context.metrics.countOutcome(result.outcome);
  sendSubmissionResult(res, result);
}
