import type { Request, Response } from "express";
import type { ConfigDocument, Team } from "@jujubeladder/types";
import type { ConfigView } from "@jujubeladder/configuration";
import { authenticate } from "./authenticate.js";
import { sendError } from "./send_error.js";

/**
 * Returns the team and the configuration for a request. Otherwise sends an
 * error response and returns undefined.
 */
export function authenticateOrReject(
  req: Request,
  res: Response,
  configView: ConfigView,
): { readonly team: Team; readonly document: ConfigDocument } | undefined {
  const authenticated = authenticate(req, configView);
  if (authenticated.ok) return authenticated.value;
  sendError(res, authenticated.error);
  return undefined;
}
