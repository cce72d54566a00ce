import type { PeerDatagrams } from "@jujubeladder/coordination";
import { create } from "@bufbuild/protobuf";
import {
  PermitAnswerSchema,
  type PermitAnswer,
  type PermitQuery,
} from "@jujubeladder/protocol";
import type { Metrics } from "@jujubeladder/metrics";
import { monotonicMs, settleWithin } from "@jujubeladder/utils";
import { computeRunnerRate } from "../decisions/compute_runner_rate.js";
import { HeldPermits } from "../decisions/held_permits.js";
import { RatePermitIssuer } from "../decisions/rate_permit_issuer.js";
import type { GatewayRunner } from "../model/gateway_runner.js";
import type { RatePermit } from "../model/rate_permit.js";
import { toIncarnationId } from "../model/to_incarnation_id.js";
import type { RunnerRateLimits } from "../views/runner_rate_limits.js";
import { decodeRunnerRate } from "./decode_runner_rate.js";
import { encodeRunnerRate } from "./encode_runner_rate.js";
import { parseAddress } from "./parse_address.js";
import { rankPermitIssuers } from "./rank_permit_issuers.js";

/** Two round trips between regions, and a busy peer. */
const ANSWER_TIMEOUT_MS = 120;
/** A lost datagram does not make another instance the issuer. */
const MAX_FAILURES = 2;
/** An issuer that has failed is passed over for this long. */
const FAILURE_COOLDOWN_MS = 1_000;
/** The first and the one that takes over from it. */
const MAX_ISSUERS_ASKED = 2;
/** Pause before a permit is asked for again where no issuer answers. */
const UNANSWERED_WAIT_MS = 200;
const MAX_WAIT_MS = 60_000;

/** Dependencies of the permits. */
interface RatePermitDependencies {
  readonly own: { readonly instanceId: string; readonly region: string };
  readonly limits: RunnerRateLimits;
  readonly listPeers: () => readonly {
    readonly instanceId: string;
    readonly region: string;
  }[];
  /** False until it is known which instances there are. */
  readonly isFleetKnown: () => boolean;
  readonly datagrams: Pick<PeerDatagrams, "askPermit">;
  readonly metrics: Pick<Metrics, "count">;
}

/** What an issuer is asked. */
interface PermitRequest {
  readonly maxWaitMs: number;
  readonly isResumption: boolean;
  /** The instance that ranks before it does not answer. */
  readonly isSubstitute: boolean;
}

/**
 * Keeps all instances together to the request rates that runners state. One
 * instance issues the permits of each limited runner, and each request that goes
 * there needs one. Nothing is asked while no runner states a limit.
 */
export class RatePermits {
  readonly #dependencies: RatePermitDependencies;
  readonly #issuer = new RatePermitIssuer();
  readonly #held = new HeldPermits();
  readonly #failures = new Map<
    string,
    { readonly count: number; readonly atMs: number }
  >();

  constructor(dependencies: RatePermitDependencies) {
    this.#dependencies = dependencies;
    dependencies.limits.events.on("changed", (runner) => {
      this.#announce(runner);
    });
  }

  isLimited(runner: GatewayRunner): boolean {
    return this.#findRate(runner) !== undefined;
  }

  /** Time until a request may be placed on the runner, as far as is known. */
  findOpenMs(runner: GatewayRunner): number {
    return this.isLimited(runner)
      ? this.#held.findOpenMs(toIncarnationId(runner), monotonicMs())
      : 0;
  }

  /** Claims a permit at hand for a placement, which the write then uses. */
  claim(runner: GatewayRunner): boolean {
    if (!this.isLimited(runner)) return true;
    return this.#held.claim(toIncarnationId(runner), monotonicMs());
  }

  /** Gives a claim back that no request uses. */
  release(runner: GatewayRunner): void {
    if (!this.isLimited(runner)) return;
    this.#held.release(toIncarnationId(runner), monotonicMs());
  }

  /**
   * Gets a permit, which is held from then on, for a request that can wait up to
   * `maxWaitMs`. Without an answer of an issuer it is refused.
   */
  async acquire(
    runner: GatewayRunner,
    options: { readonly maxWaitMs: number; readonly isResumption?: boolean },
  ): Promise<RatePermit> {
    const incarnationId = toIncarnationId(runner);
    const permit = this.isLimited(runner)
      ? await this.#ask(runner, options)
      : ({ type: "granted", waitMs: 0 } as const);
    const nowMs = monotonicMs();
    switch (permit.type) {
      case "granted":
        this.#held.add(incarnationId, permit.waitMs, nowMs);
        break;
      case "refused":
        this.#held.close(incarnationId, permit.waitMs, nowMs);
        break;
    }
    return permit;
  }

  /**
   * Uses a permit for a request that is about to be written. A request that was
   * placed before the limit was known, or that resumes, asks for one now.
   */
  async spend(
    runner: GatewayRunner,
    { isResumption }: { readonly isResumption: boolean },
  ): Promise<boolean> {
    const incarnationId = toIncarnationId(runner);
    if (!this.isLimited(runner)) return true;
    if (this.#held.spend(incarnationId, monotonicMs())) return true;
    const permit = await this.acquire(runner, { maxWaitMs: 0, isResumption });
    const isGranted =
      permit.type === "granted" &&
      this.#held.claim(incarnationId, monotonicMs()) &&
      this.#held.spend(incarnationId, monotonicMs());
    if (!isGranted) this.#dependencies.metrics.count("withheld_limit");
    return isGranted;
  }

  /** Answers a peer that asks for a permit. */
  answer(query: PermitQuery): PermitAnswer {
    const rate = decodeRunnerRate(query.rate);
    if (!rate) return create(PermitAnswerSchema, { isGranted: false });
    const { limits } = this.#dependencies;
    limits.mergePeer(rate);
    if (query.isAnnouncement) return create(PermitAnswerSchema);
    const permit = this.#issue(rate.incarnationId, query);
    const known = limits.find(rate.incarnationId);
    return create(PermitAnswerSchema, {
      isGranted: permit.type === "granted",
      waitMs: Math.min(MAX_WAIT_MS, Math.ceil(permit.waitMs)),
      ...(known ? { rate: encodeRunnerRate(known) } : {}),
    });
  }

  #findRate(runner: GatewayRunner): number | undefined {
    const { limits } = this.#dependencies;
    if (limits.isEmpty) return undefined;
    return computeRunnerRate(limits.find(toIncarnationId(runner)));
  }

  async #ask(
    runner: GatewayRunner,
    options: { readonly maxWaitMs: number; readonly isResumption?: boolean },
  ): Promise<RatePermit> {
    const { own, isFleetKnown } = this.#dependencies;
    const incarnationId = toIncarnationId(runner);
    const maxWaitMs = Math.max(0, Math.floor(options.maxWaitMs));
    const query = { maxWaitMs, isResumption: options.isResumption ?? false };
    if (!isFleetKnown()) return { type: "refused", waitMs: UNANSWERED_WAIT_MS };
    const issuers = this.#rankIssuers(runner);
    for (const [rank, issuer] of issuers
      .slice(0, MAX_ISSUERS_ASKED)
      .entries()) {
      const ranked = { ...query, isSubstitute: rank > 0 };
      if (issuer === own.instanceId) return this.#issue(incarnationId, ranked);
      if (this.#hasFailed(issuer)) continue;
      const permit = await this.#askPeer(issuer, incarnationId, ranked);
      if (permit) return permit;
      if (!this.#hasFailed(issuer)) break;
    }
    return { type: "refused", waitMs: UNANSWERED_WAIT_MS };
  }

  // Tells the issuer at once, as this instance may not ask it for long.
  #announce(runner: GatewayRunner): void {
    const { own, limits, datagrams } = this.#dependencies;
    const incarnationId = toIncarnationId(runner);
    const known = limits.find(incarnationId);
    const [issuer] = this.#rankIssuers(runner);
    if (!known || issuer === undefined || issuer === own.instanceId) return;
    const address = parseAddress(issuer);
    if (!address) return;
    const rate = encodeRunnerRate(known);
    void datagrams.askPermit(address, { rate, isAnnouncement: true });
  }

  #rankIssuers(runner: GatewayRunner): readonly string[] {
    const { own, listPeers } = this.#dependencies;
    const incarnationId = toIncarnationId(runner);
    const { region } = runner;
    return rankPermitIssuers({ incarnationId, region }, [own, ...listPeers()]);
  }

  #hasFailed(issuer: string): boolean {
    const failure = this.#failures.get(issuer);
    return (
      failure !== undefined &&
      failure.count >= MAX_FAILURES &&
      monotonicMs() - failure.atMs < FAILURE_COOLDOWN_MS
    );
  }

  async #askPeer(
    issuer: string,
    incarnationId: string,
    query: PermitRequest,
  ): Promise<RatePermit | undefined> {
    const { limits, datagrams } = this.#dependencies;
    const address = parseAddress(issuer);
    const known = limits.find(incarnationId);
    if (!address || !known) return undefined;
    const answer = await settleWithin(
      datagrams.askPermit(address, { ...query, rate: encodeRunnerRate(known) }),
      ANSWER_TIMEOUT_MS,
    );
    if (!answer) {
      const count = (this.#failures.get(issuer)?.count ?? 0) + 1;
      this.#failures.set(issuer, { count, atMs: monotonicMs() });
      return undefined;
    }
    this.#failures.delete(issuer);
    const rate = decodeRunnerRate(answer.rate);
    if (rate) limits.mergePeer(rate);
    const waitMs = Math.min(answer.waitMs, MAX_WAIT_MS);
    return { type: answer.isGranted ? "granted" : "refused", waitMs };
  }

  #issue(incarnationId: string, query: PermitRequest): RatePermit {
    const rate = computeRunnerRate(
      this.#dependencies.limits.find(incarnationId),
    );
    if (rate === undefined) return { type: "granted", waitMs: 0 };
    const { maxWaitMs, isResumption, isSubstitute } = query;
    return this.#issuer.issue(
      {
        incarnationId,
        requestsPerSecond: rate,
        maxWaitMs,
        isResumption,
        isSubstitute,
      },
      monotonicMs(),
    );
  }
}
