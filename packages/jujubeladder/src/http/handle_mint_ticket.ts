import type { Request, Response } from "express";
import { z } from "zod";
import { authenticateOrReject } from "./authenticate_or_reject.js";
import type { CallerContext } from "./caller_context.js";
import { findRoute } from "./find_route.js";
import { sendError } from "./send_error.js";

const CREATED = 201;

const mintSchema = z.strictObject({
  service: z.string(),
  method: z.enum(["PUT", "POST", "PATCH", "DELETE"]).default("POST"),
  path: z.string().startsWith("/"),
});

/** Mints a ticket for one submission, without running it. */
export function handleMintTicket(
  context: CallerContext,
  req: Request,
  res: Response,
): void {
  const caller = authenticateOrReject(req, res, context.configView);
  if (!caller) return;
  const parsed = mintSchema.safeParse(req.body);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    sendError(res, {
      statusCode: 400,
      type: "invalid_request",
      message: `${issue?.path.join(".") ?? ""}: ${issue?.message ?? ""}`,
    });
    return;
  }
  const { service: serviceId, method, path } = parsed.data;
  const { team, document } = caller;
  if (!findRoute(document, { serviceId, method, path })) {
    sendError(res, {
      statusCode: 404,
      type: "unknown_route",
      message: `${serviceId} has no route ${method} ${path}`,
    });
    return;
  }
  const { teamId } = team;
  const minted = context.tickets.mint({ serviceId, teamId, method, path });
  res
    .status(CREATED)
    .location(`/v1/tickets/${minted.sealed}`)
    .json({ ticket: minted.sealed, expires_at_ms: minted.expiresAtMs });
}
