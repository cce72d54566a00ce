import type { SchedulingRequest } from "@jujubeladder/scheduling";
import type { GenerationWork } from "./generation_work.js";
import { toPrefixKey } from "./to_prefix_key.js";

const CHARACTERS_PER_TOKEN = 4;

/** Converts a generation to a request to the scheduler. */
export function toSchedulingRequest(
  work: GenerationWork,
  options: {
    readonly excludedRunnerIds: ReadonlySet<string>;
    readonly onlyRunnerId: string | undefined;
  },
): SchedulingRequest {
  const { request, kind, teamWeight, settings } = work;
  const { excludedRunnerIds, onlyRunnerId } = options;
  const content = request.messages.map((message) => message.content).join("\n");
  return {
    requestId: request.requestId,
    serviceId: request.serviceId,
    teamId: request.teamId,
    teamWeight,
    kindId: kind.kindId,
    isShort: kind.isShort,
    promptTokens: Math.ceil(content.length / CHARACTERS_PER_TOKEN),
    maxTokens: request.maxTokens,
    prefixKey: toPrefixKey(request),
    settings,
    excludedRunnerIds,
    ...(onlyRunnerId === undefined
      ? {}
      : { allowedRunnerIds: new Set([onlyRunnerId]) }),
  };
}
