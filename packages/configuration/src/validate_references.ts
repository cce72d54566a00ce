import type { ConfigDocument } from "@jujubeladder/types";
import type { ConfigError } from "./config_error.js";

/** Finds repeated ids and exceptions that name what does not exist. */
export function validateReferences(
  document: ConfigDocument,
): readonly ConfigError[] {
  const serviceIds = document.services.map((service) => service.serviceId);
  const teamIds = document.teams.map((team) => team.teamId);
  return [
    ...findRepeats("services", serviceIds),
    ...findRepeats("teams", teamIds),
    ...findRepeats(
      "exceptions",
      document.exceptions.map((exception) => exception.exceptionId),
    ),
    ...findRepeats(
      "targets",
      document.targets.map((target) => target.runnerId),
    ),
    ...findUnknownScopes(document, new Set(serviceIds), new Set(teamIds)),
  ];
}

function findRepeats(
  key: string,
  ids: readonly string[],
): readonly ConfigError[] {
  const seen = new Set<string>();
  const errors: ConfigError[] = [];
  ids.forEach((id, index) => {
    if (seen.has(id)) {
      errors.push({
        key: `${key}.${index}`,
        problem: `The id ${id} stands twice`,
        remedy: "Give each entry an id of its own",
      });
    }
    seen.add(id);
  });
  return errors;
}

function findUnknownScopes(
  document: ConfigDocument,
  serviceIds: ReadonlySet<string>,
  teamIds: ReadonlySet<string>,
): readonly ConfigError[] {
  return document.exceptions.flatMap((exception, index) => {
    const errors: ConfigError[] = [];
    const { serviceId, teamId } = exception;
    if (serviceId !== undefined && !serviceIds.has(serviceId)) {
      errors.push(unknownScope(index, "serviceId", serviceId));
    }
    if (teamId !== undefined && !teamIds.has(teamId)) {
      errors.push(unknownScope(index, "teamId", teamId));
    }
    return errors;
  });
}

function unknownScope(index: number, key: string, id: string): ConfigError {
  return {
    key: `exceptions.${index}.${key}`,
    problem: `There is no ${id}`,
    remedy: "Name one that the document defines, or remove the exception",
  };
}
