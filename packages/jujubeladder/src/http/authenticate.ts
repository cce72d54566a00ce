import type { Request } from "express";
import type { ConfigDocument, Result, Team } from "@jujubeladder/types";
import type { ConfigView } from "@jujubeladder/configuration";
import type { ApiError } from "./api_error.js";

const BEARER = /^Bearer (.+)$/i;

/** A team and the configuration that applies to its request. */
interface Authenticated {
  readonly team: Team;
  readonly document: ConfigDocument;
}

/**
 * Identifies the team of a request by its bearer token. Fails with 401 for an
 * unknown token and with 503 while there is no configuration.
 */
export function authenticate(
  req: Request,
  configView: ConfigView,
): Result<Authenticated, ApiError> {
  const { document } = configView;
  if (!document) {
    return {
      ok: false,
      error: {
        statusCode: 503,
        type: "not_ready",
        message: "No configuration is in force yet",
      },
    };
  }
  const token = BEARER.exec(req.get("authorization") ?? "")?.[1] ?? "";
  const teamId = configView.findTeamId(token);
  const team = document.teams.find((entry) => entry.teamId === teamId);
  if (team) return { ok: true, value: { team, document } };
  return {
    ok: false,
    error: {
      statusCode: 401,
      type: "unknown_team",
      message: "The bearer token belongs to no team",
    },
  };
}
