import Emittery from "emittery";
import type { ConfigDocument } from "@jujubeladder/types";
import type { Logger } from "@jujubeladder/logger";
import { sha256Hex } from "@jujubeladder/utils";
import { compareDocuments } from "./compare_documents.js";
import { parseConfigDocument } from "./parse_config_document.js";

/** Source of a document: the platform's service or a peer instance. */
type ConfigSource = "service" | "peer";

/**
 * Holds the configuration in force: the newest valid document received from
 * any source, in the order of `compareDocuments`. Older ones are ignored.
 */
export class ConfigView {
  readonly events = new Emittery<{ changed: ConfigDocument }>();
  readonly #logger: Logger;
  #document: ConfigDocument | undefined;
  #text = "";
  #hash = "";
  #teamIdsByToken: ReadonlyMap<string, string> = new Map();
  #lastRefusedRevision = 0;

  constructor(logger: Logger) {
    this.#logger = logger;
  }

  get document(): ConfigDocument | undefined {
    return this.#document;
  }

  get revision(): number {
    return this.#document?.revision ?? 0;
  }

  /** The published text of the document, sent to peers with an older one. */
  get text(): string {
    return this.#text;
  }

  /** SHA-256 of `text`; peers compare it when their revisions are equal. */
  get hash(): string {
    return this.#hash;
  }

  /** Returns the id of the team that owns a bearer token, or undefined. */
  findTeamId(token: string): string | undefined {
    return this.#teamIdsByToken.get(sha256Hex(token));
  }

  /** Applies a document if it is valid and newer; returns whether it did. */
  applyIfNewer(text: string, source: ConfigSource): boolean {
    const parsed = parseConfigDocument(text);
    if (!parsed.ok) {
      const [firstError] = parsed.error;
      const revision = readRevision(text);
      if (revision !== this.#lastRefusedRevision) {
        this.#lastRefusedRevision = revision;
        this.#logger.warn("configuration_refused", {
          source,
          revision,
          key: firstError?.key,
          problem: firstError?.problem,
        });
      }
      return false;
    }
    const document = parsed.value;
    const hash = sha256Hex(text);
    const current = this.#document
      ? { document: this.#document, hash: this.#hash }
      : undefined;
    if (current && compareDocuments({ document, hash }, current) <= 0) {
      if (hash !== this.#hash) {
        this.#logger.warn("configuration_ignored", {
          source,
          revision: document.revision,
          revision_in_force: this.revision,
        });
      }
      return false;
    }
    this.#accept(document, text, hash);
    this.#logger.info("configuration_in_force", {
      source,
      revision: document.revision,
      published_at_ms: document.publishedAtMs,
    });
    return true;
  }

  #accept(document: ConfigDocument, text: string, hash: string): void {
    this.#hash = hash;
    this.#document = document;
    this.#text = text;
    this.#teamIdsByToken = new Map(
      document.teams.map((team) => [team.tokenSha256, team.teamId]),
    );
    void this.events.emit("changed", document);
  }
}

function readRevision(text: string): number {
  try {
    return Number((JSON.parse(text) as { revision?: unknown }).revision) || 0;
  } catch {
    return 0;
  }
}
