import { create, type MessageInitShape } from "@bufbuild/protobuf";
import type { PeerDirectory } from "@jujubeladder/coordination";
import {
  FetchDocumentRequestSchema,
  FetchDocumentResponseSchema,
  GossipRequestSchema,
  WatchConfigRequestSchema,
  WatchConfigResponseSchema,
  WatchRunnersRequestSchema,
  WatchRunnersResponseSchema,
  type Digest,
  type ViewState,
} from "@jujubeladder/protocol";
import { sleep } from "@jujubeladder/utils";
import type { ModelInstance } from "./model_instance.js";

const LATENCY_MS = 6;
const NO_ANSWER_MS = 400;

type Client = NonNullable<ReturnType<PeerDirectory["find"]>>;
type ResponseOf<Call extends keyof Client> = Awaited<ReturnType<Client[Call]>>;

/** Carries the exchanges between instances, by function calls. */
export class ModelNetwork {
  readonly #instances = new Map<string, ModelInstance>();
  readonly #random: () => number;

  constructor(random: () => number) {
    this.#random = random;
  }

  set(instance: ModelInstance): void {
    this.#instances.set(instance.address, instance);
  }

  /** A client of the peer; calls fail while either side is cut off. */
  connect(from: ModelInstance, to: string): Client {
    const client: Partial<Client> = {
      gossip: async ({ digest }) =>
        this.#call(from, to, (peer) => {
          const request = create(GossipRequestSchema, { digest: digest ?? {} });
          if (!request.digest) throw new Error("a digest is missing");
          return Promise.resolve({
            digest: peer.handleDigest(request.digest),
          } as ResponseOf<"gossip">);
        }),
      fetchDocument: async (request) =>
        this.#call(from, to, async (peer) =>
          Promise.resolve(
            create(
              FetchDocumentResponseSchema,
              peer.fetchDocument(create(FetchDocumentRequestSchema, request)),
            ),
          ),
        ),
      watchConfig: async (request) =>
        this.#call(from, to, async (peer) => {
          const asked = create(WatchConfigRequestSchema, request);
          const response = await peer.handlers.watchConfig(
            asked,
            undefined as never,
          );
          return create(
            WatchConfigResponseSchema,
            response as MessageInitShape<typeof WatchConfigResponseSchema>,
          );
        }),
      watchRunners: async (request) =>
        this.#call(from, to, async (peer) => {
          const asked = create(WatchRunnersRequestSchema, request);
          const response = await peer.handlers.watchRunners(
            asked,
            undefined as never,
          );
          return create(
            WatchRunnersResponseSchema,
            response as MessageInitShape<typeof WatchRunnersResponseSchema>,
          );
        }),
    };
    return client as Client;
  }

  async exchangeDigests(
    from: ModelInstance,
    to: string,
    digest: Digest,
  ): Promise<Digest | undefined> {
    return this.#call(from, to, async (peer) =>
      Promise.resolve(peer.handleDigest(digest)),
    ).catch(() => undefined);
  }

  async queryView(
    from: ModelInstance,
    to: string,
  ): Promise<ViewState | undefined> {
    return this.#call(from, to, async (peer) =>
      Promise.resolve(peer.answerViewQuery(from.address)),
    ).catch(() => undefined);
  }

  announceView(from: ModelInstance, to: string): void {
    void this.#call(from, to, async (peer) => {
      peer.handleAnnouncement(from.address);
      return Promise.resolve();
    }).catch(() => undefined);
  }

  async #call<Value>(
    from: ModelInstance,
    to: string,
    answer: (peer: ModelInstance) => Promise<Value>,
  ): Promise<Value> {
    await sleep(LATENCY_MS * (0.5 + this.#random()));
    const peer = this.#instances.get(to);
    if (!peer?.isRunning || peer.isCutFromPeers || from.isCutFromPeers) {
      await sleep(NO_ANSWER_MS);
      throw new Error("the peer does not answer");
    }
    const value = await answer(peer);
    await sleep(LATENCY_MS * (0.5 + this.#random()));
    return value;
  }
}
