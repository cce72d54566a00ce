import type { ServiceImpl } from "@connectrpc/connect";
import type { PeerService } from "@jujubeladder/protocol";
import type { ConfigInForce } from "../views/config_in_force.js";
import type { RunnerMirror } from "../views/runner_mirror.js";
import type { StoreLink } from "../views/store_link.js";
import { encodeRunnerEntries } from "./encode_runner_entries.js";

/** Longest wait that a peer may ask for. */
const MOST_WAIT_MS = 5_000;

/**
 * Answers peers that do not read the store themselves. While this instance
 * can't read it either, answers say no age, so that peers look elsewhere.
 */
export function serveViews(parts: {
  readonly config: ConfigInForce;
  readonly configLink: StoreLink;
  readonly mirror: RunnerMirror;
  readonly runnersLink: StoreLink;
}): Pick<ServiceImpl<typeof PeerService>, "watchConfig" | "watchRunners"> {
  const { config, configLink, mirror, runnersLink } = parts;
  return {
    watchConfig: async ({ version, waitMs }) => {
      await config.waitBeyond(Number(version), {
        waitMs: Math.min(waitMs, MOST_WAIT_MS),
        mayWait: () => configLink.isAnswering,
      });
      const ageMs = config.confirmedAgeMs;
      const isProved = configLink.isAnswering && Number.isFinite(ageMs);
      return {
        version: BigInt(config.version),
        ...(isProved ? { ageMs: Math.ceil(Math.max(0, ageMs)) } : {}),
      };
    },
    watchRunners: async ({ asOf, waitMs }) => {
      const known = await mirror.readBeyond(Number(asOf), {
        waitMs: Math.min(waitMs, MOST_WAIT_MS),
        mayWait: () => runnersLink.isAnswering,
      });
      if (!known || !runnersLink.isAnswering) return { asOf };
      return {
        asOf: BigInt(known.asOf),
        ageMs: Math.ceil(Math.max(0, known.ageMs)),
        isList: known.type === "list",
        entries: encodeRunnerEntries(known),
      };
    },
  };
}
