import type { ConfigDocument } from "@jujubeladder/types";
import type { ConfigError } from "./config_error.js";

/** Finds duplicate ids, and exceptions that refer to unknown ids. */
export function validateReferences(
  document: ConfigDocument,
): readonly ConfigError[] {
  const serviceIds = document.services.map((service) => service.serviceId);
  const teamIds = document.teams.map((team) => team.teamId);
  return [
    ...findDuplicates("services", serviceIds),
    ...findDuplicates("teams", teamIds),
    ...findDuplicates(
      "exceptions",
      document.exceptions.map((exception) => exception.exceptionId),
    ),
    ...findDuplicates(
      "targets",
      document.targets.map((target) => target.runnerId),
    ),
    ...findUnknownScopes(document, new Set(serviceIds), new Set(teamIds)),
  ];
}

function findDuplicates(
  key: string,
  ids: readonly string[],
): readonly ConfigError[] {
  const seen = new Set<string>();
  const errors: ConfigError[] = [];
  ids.forEach((id, index) => {
    if (seen.has(id)) {
      errors.push({
        key: `${key}.${index}`,
        problem: `Duplicate id ${id}`,
        remedy: "Give each entry a unique id",
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
      errors.push(unknownScopeError(index, "serviceId", serviceId));
    }
    if (teamId !== undefined && !teamIds.has(teamId)) {
      errors.push(unknownScopeError(index, "teamId", teamId));
    }
    return errors;
  });
}

function unknownScopeError(
  index: number,
  key: string,
  id: string,
): ConfigError {
  return {
    key: `exceptions.${index}.${key}`,
    problem: `Unknown id ${id}`,
    remedy: "Use an id that the document defines, or remove the exception",
  };
}
