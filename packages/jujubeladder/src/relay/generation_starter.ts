import type { StreamLease } from "@jujubeladder/scheduling";
import type { GenerationEvent } from "@jujubeladder/types";
import { EngineClient } from "@jujubeladder/upstream";
import { createId, monotonicMs } from "@jujubeladder/utils";
import type { AttemptResult } from "./attempt_result.js";
import { GenerationReader } from "./generation_reader.js";
import { toPrefixKey } from "./to_prefix_key.js";
import type { GenerationWork } from "./generation_work.js";
import type { RelayDependencies } from "./relay_dependencies.js";

const SHORT_PRIORITY_BONUS_MS = 10_000;

type NotStarted = Extract<AttemptResult, { type: "not_started" }>;

/** A generation that may have started, ready to be read, or why none has. */
type StartOutcome =
  | NotStarted
  | {
      readonly type: "reading";
      readonly reader: GenerationReader;
      readonly events: AsyncGenerator<GenerationEvent, AttemptResult, void>;
    };

/** Starts generations on runners that are confirmed not to be leaving. */
export class GenerationStarter {
  readonly #dependencies: RelayDependencies;

  constructor(dependencies: RelayDependencies) {
    this.#dependencies = dependencies;
  }

  async start(
    work: GenerationWork,
    options: {
      readonly runnerId: string;
      readonly lease: StreamLease;
      readonly signal: AbortSignal;
    },
  ): Promise<StartOutcome> {
    const { runnerId, lease, signal } = options;
    const runner = this.#dependencies.findRunner(runnerId);
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
        sealBox: this.#dependencies.sealBox,
        metrics: this.#dependencies.metrics,
        signal,
        onProgress: (producedTokens) => {
          lease.progress(producedTokens);
        },
      },
    );
    const confirmed = await this.#dependencies.monitor.confirmAvailable(
      runner,
      "engine",
    );
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
        const events = this.#recordFirstTokenTime(opened, openedAtMs);
        return { type: "reading", reader, events };
      }
      case "refused":
        return { ...notStarted(outcome.reason), isLeaving: outcome.isLeaving };
      case "unreachable":
        return { ...notStarted(outcome.reason), isUnreachable: true };
      case "missing":
      case "unknown":
        // The generation may have started, so resume it from its first token.
        return { type: "reading", reader, events: reader.read() };
    }
  }

  async *#recordFirstTokenTime(
    events: AsyncGenerator<GenerationEvent, AttemptResult, void>,
    openedAtMs: number,
  ): AsyncGenerator<GenerationEvent, AttemptResult, void> {
    const first = await events.next();
    if (first.done) return first.value;
    const elapsedMs = monotonicMs() - openedAtMs;
    this.#dependencies.metrics.record("first_token_ms", elapsedMs);
    yield first.value;
    return yield* events;
  }
}

// Engines preempt the stream with the highest value first, that is the newest.
// The bonus protects short generations.
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
