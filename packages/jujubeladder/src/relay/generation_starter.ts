import type { StreamLease } from "@jujubeladder/scheduling";
import type { GenerationEvent } from "@jujubeladder/types";
import { EngineClient } from "@jujubeladder/upstream";
import { createId, monotonicMs } from "@jujubeladder/utils";
import type { AttemptEnd } from "./attempt_end.js";
import { GenerationReader } from "./generation_reader.js";
import { toPrefixKey } from "./to_prefix_key.js";
import type { GenerationWork } from "./generation_work.js";
import type { RelayParts } from "./relay_parts.js";

const SHORT_PRIORITY_BONUS_MS = 10_000;

type NotStarted = Extract<AttemptEnd, { type: "not_started" }>;

/** A generation that may have started, ready to be read. */
type Started =
  | NotStarted
  | {
      readonly type: "reading";
      readonly reader: GenerationReader;
      readonly read: AsyncGenerator<GenerationEvent, AttemptEnd, void>;
    };

/** Starts generations at runners, after a last look at whether they leave. */
export class GenerationStarter {
  readonly #parts: RelayParts;

  constructor(parts: RelayParts) {
    this.#parts = parts;
  }

  async start(
    work: GenerationWork,
    options: {
      readonly runnerId: string;
      readonly lease: StreamLease;
      readonly signal: AbortSignal;
    },
  ): Promise<Started> {
    const { runnerId, lease, signal } = options;
    const runner = this.#parts.findRunner(runnerId);
    if (!runner) return notStarted("the runner is no longer listed");
    const { request, settings } = work;
    const generationId = createId();
    const { host, port } = runner;
    const { serviceId, teamId } = request;
    const reader = new GenerationReader(
      { serviceId, teamId, runnerId, host, port, generationId },
      {
        silenceMs: settings.silenceMs,
        resumeWindowMs: settings.resumeWindowMs,
        firstOffset: 0,
        sealBox: this.#parts.sealBox,
        metrics: this.#parts.metrics,
        signal,
        onProgress: (producedTokens) => {
          lease.progress(producedTokens);
        },
      },
    );
    const confirmed = await this.#parts.access.confirm(runner, "engine");
    if (!confirmed.ok) return notStarted(confirmed.error);
    const openedAtMs = monotonicMs();
    const outcome = await new EngineClient(runner).openGeneration(request, {
      generationId,
      priority: toPriority(work),
      prefixKey: toPrefixKey(request),
      silenceMs: settings.silenceMs,
      signal,
    });
    switch (outcome.type) {
      case "opened": {
        const opened = reader.read(outcome.stream);
        const read = this.#timeFirstToken(opened, openedAtMs);
        return { type: "reading", reader, read };
      }
      case "refused":
        return { ...notStarted(outcome.reason), isLeaving: outcome.isLeaving };
      case "unreachable":
        return { ...notStarted(outcome.reason), isUnreachable: true };
      case "missing":
      case "unknown":
        // It may have started: look for the generation at the runner.
        return { type: "reading", reader, read: reader.read() };
    }
  }

  async *#timeFirstToken(
    read: AsyncGenerator<GenerationEvent, AttemptEnd, void>,
    openedAtMs: number,
  ): AsyncGenerator<GenerationEvent, AttemptEnd, void> {
    const first = await read.next();
    if (first.done) return first.value;
    const elapsedMs = monotonicMs() - openedAtMs;
    this.#parts.metrics.record("first_token_ms", elapsedMs);
    yield first.value;
    return yield* read;
  }
}

// Engines preempt the highest number first: the youngest stream.
function toPriority(work: GenerationWork): number {
  return Date.now() - (work.kind.isShort ? SHORT_PRIORITY_BONUS_MS : 0);
}

function notStarted(reason: string): NotStarted {
  return {
    type: "not_started",
    reason,
    isLeaving: false,
    isUnreachable: false,
  };
}
