import { resolveSettings } from "@jujubeladder/configuration";
import type {
  ConfigDocument,
  EngineService,
  RequestKind,
  Result,
  Team,
} from "@jujubeladder/types";
import { createId } from "@jujubeladder/utils";
import type { GenerationWork } from "../relay/generation_work.js";
import type { ApiError } from "./api_error.js";
import { chatRequestSchema } from "./chat_request_schema.js";

/**
 * Validates a chat-completions body against the configuration. Fails with 400
 * or 404 if the body, the service or the kind is not valid.
 */
export function parseGenerationWork(
  body: unknown,
  document: ConfigDocument,
  team: Team,
): Result<GenerationWork, ApiError> {
  const parsed = chatRequestSchema.safeParse(body);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    const key = issue?.path.join(".") ?? "";
    return reject(400, "invalid_request", `${key}: ${issue?.message ?? ""}`);
  }
  const { model, metadata } = parsed.data;
  const service = document.services.find((s) => s.serviceId === model);
  if (service?.type !== "engine") {
    return reject(
      404,
      "unknown_service",
      `There is no engine service ${model}`,
    );
  }
  const isStreamed = parsed.data.stream ?? false;
  const kind = findKind(service, metadata?.["kind"], isStreamed);
  if (!kind) {
    return reject(400, "unknown_kind", `${model} has no kind of that name`);
  }
  const scope = { serviceId: model, teamId: team.teamId };
  const settings = resolveSettings(document, scope);
  const { max_tokens, max_completion_tokens } = parsed.data;
  const requestedMaxTokens =
    max_completion_tokens ?? max_tokens ?? settings.maxTokens;
  return {
    ok: true,
    value: {
      service,
      kind,
      settings,
      teamWeight: team.weight,
      request: {
        requestId: createId(),
        serviceId: model,
        teamId: team.teamId,
        kindId: kind.kindId,
        messages: parsed.data.messages,
        maxTokens: Math.min(requestedMaxTokens, settings.maxTokens),
        isStreamed,
      },
    },
  };
}

// If no kind is named, buffered requests are taken as short and streamed ones
// as long.
function findKind(
  service: EngineService,
  kindId: string | undefined,
  isStreamed: boolean,
): RequestKind | undefined {
  if (kindId !== undefined) {
    return service.kinds.find((kind) => kind.kindId === kindId);
  }
  const matchingKind = service.kinds.find(
    (kind) => kind.isShort === !isStreamed,
  );
  return matchingKind ?? service.kinds[0];
}

function reject(
  statusCode: number,
  type: string,
  message: string,
): Result<GenerationWork, ApiError> {
  return { ok: false, error: { statusCode, type, message } };
}
