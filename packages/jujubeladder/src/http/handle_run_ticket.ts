import type { Request, Response } from "express";
import { authenticateOrReject } from "./authenticate_or_reject.js";
import type { CallerContext } from "./caller_context.js";
import { sendError } from "./send_error.js";
import { sendSubmissionResult } from "./send_submission_result.js";

/** Runs a ticket's submission, at most once however often it is sent. */
export async function handleRunTicket(
  context: CallerContext,
  req: Request,
  res: Response,
): Promise<void> {
  const caller = authenticateOrReject(req, res, context.configView);
  if (!caller) return;
  const { teamId } = caller.team;
  const sealed = String(req.params["ticket"]);
  const ticket = context.tickets.open(sealed, teamId);
  if (!ticket.ok) {
    sendError(res, {
      statusCode: ticket.error === "forged" ? 400 : 403,
      type: "invalid_ticket",
      message: "The ticket was not given to this team",
    });
    return;
  }
  const result = await context.tickets.run(ticket.value, sealed, {
    bytes: Buffer.isBuffer(req.body) ? req.body : new Uint8Array(),
    contentType: req.get("content-type") ?? "application/octet-stream",
  });
  context.metrics.countOutcome(result.outcome);
  sendSubmissionResult(res, result);
}
