import type { Request, Response } from "express";
import { resolveSettings } from "@jujubeladder/configuration";
import { createId } from "@jujubeladder/utils";
import { authenticateOrReject } from "./authenticate_or_reject.js";
import type { CallerContext } from "./caller_context.js";
import { parseEventId } from "./parse_event_id.js";
import { parseGenerationWork } from "./parse_generation_work.js";
import { sendError } from "./send_error.js";
import { sendStream } from "./send_stream.js";
import { sendCompletion } from "./send_completion.js";

/** Handles a chat completion, or resumes a running stream. */
export async function handleChat(
  context: CallerContext,
  req: Request,
  res: Response,
): Promise<void> {
  const caller = authenticateOrReject(req, res, context.configView);
  if (!caller) return;
  const disconnectController = new AbortController();
  res.on("close", () => {
    disconnectController.abort();
  });
  const { team, document } = caller;
  const lastEventId = req.get("last-event-id");
  if (lastEventId !== undefined) {
    await resumeChat(context, res, {
      lastEventId,
      teamId: team.teamId,
      signal: disconnectController.signal,
    });
    return;
  }
  const work = parseGenerationWork(req.body, document, team);
  if (!work.ok) {
    sendError(res, work.error);
    return;
  }
  const { requestId, serviceId, isStreamed } = work.value.request;
  const events = context.generationRelay.run(
    work.value,
    disconnectController.signal,
  );
  const options = { requestId, serviceId, metrics: context.metrics };
  if (isStreamed) await sendStream(res, events, options);
  else await sendCompletion(res, events, options);
}

async function resumeChat(
  context: CallerContext,
  res: Response,
  options: {
    readonly lastEventId: string;
    readonly teamId: string;
    readonly signal: AbortSignal;
  },
): Promise<void> {
  const { teamId, signal, lastEventId } = options;
  const opened = parseEventId(lastEventId, context.handleSealBox);
  const { document } = context.configView;
  if (!opened || !document || opened.handle.teamId !== teamId) {
    sendError(res, {
      statusCode: 400,
      type: "invalid_event_id",
      message: "The Last-Event-ID was not given to this team",
    });
    return;
  }
  const { serviceId } = opened.handle;
  const settings = resolveSettings(document, { serviceId, teamId });
  const { silenceMs, resumeWindowMs } = settings;
  // The listed address takes precedence: the one in the handle may be outdated,
  // or valid only for the instance that sealed it.
  const listed = context.listView.findRunner(opened.handle.runnerId);
  const handle = listed
    ? { ...opened.handle, host: listed.host, port: listed.port }
    : opened.handle;
  const events = context.generationRelay.resume(handle, opened.offset + 1, {
    silenceMs,
    resumeWindowMs,
    signal,
  });
  const { metrics } = context;
  await sendStream(res, events, { requestId: createId(), serviceId, metrics });
}
