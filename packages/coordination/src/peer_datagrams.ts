import { createSocket, type Socket } from "node:dgram";
import {
  create,
  fromBinary,
  toBinary,
  type MessageInitShape,
} from "@bufbuild/protobuf";
import type { Logger } from "@jujubeladder/logger";
import {
  LoadTableSchema,
  PeerDatagramSchema,
  PermitQuerySchema,
  StreamOriginQuerySchema,
  StreamOriginSchema,
  StreamOriginsSchema,
  PlacementAnswerSchema,
  PlacementQuerySchema,
  ViewQuerySchema,
  type Digest,
  type PeerDatagram,
  type PermitAnswer,
  type StreamOrigin,
  type ViewState,
} from "@jujubeladder/protocol";
import { describeError } from "@jujubeladder/utils";
import type { DatagramEndpoint } from "./datagram_endpoint.js";
import type { DatagramHandlers } from "./datagram_handlers.js";
import type { DigestExchange } from "./digest_exchange.js";
import { fitDigest } from "./fit_digest.js";

/** Fits into one packet on common links, so that none is fragmented. */
const MAX_DATAGRAM_BYTES = 1_400;
/**
 * A round trip between regions takes under 100 ms; the rest is for busy peers.
 */
const ANSWER_TIMEOUT_MS = 400;
/** Limit on exchanges that wait for an answer. */
const MAX_PENDING = 1_024;
const EXCHANGE_ID_COUNT = 2 ** 32;

type Content = PeerDatagram["content"];
type DatagramInit = Pick<PeerDatagram, "exchangeId" | "isAnswer" | "content">;

interface PendingExchange extends DatagramEndpoint {
  readonly settle: (answer: Content | undefined) => void;
}

/**
 * Frequent small exchanges with peers in UDP datagrams: two packets instead of
 * a call over HTTP/2. Datagrams may be lost or too small for the content, so an
 * exchange without an answer is to be repeated as a call.
 */
export class PeerDatagrams implements DigestExchange {
  readonly #logger: Logger;
  readonly #pending = new Map<number, PendingExchange>();
  #socket: Socket | undefined;
  #nextId = Math.floor(Math.random() * EXCHANGE_ID_COUNT);

  constructor(logger: Logger) {
    this.#logger = logger;
  }

  /**
   * Listens for datagrams of peers. Without a socket, for instance on a port in
   * use, exchanges have no answer.
   */
  async listen(
    address: DatagramEndpoint,
    handlers: DatagramHandlers,
  ): Promise<void> {
    const socket = createSocket("udp4");
    await new Promise<void>((resolve) => {
      socket.once("listening", () => {
        this.#socket = socket;
        resolve();
      });
      socket.on("error", (error) => {
        this.#logger.warn("peer_datagrams_failed", {
          reason: describeError(error),
        });
        if (this.#socket === socket) this.#socket = undefined;
        socket.close();
        resolve();
      });
      socket.on("message", (bytes, { address: host, port }) => {
        this.#receive(bytes, { host, port }, handlers);
      });
      socket.bind(address.port, address.host);
    });
  }

  async exchangeDigests(
    peer: DatagramEndpoint,
    digest: Digest,
  ): Promise<Digest | undefined> {
    const answer = await this.#ask(peer, { case: "digest", value: digest });
    return answer?.case === "digest" ? answer.value : undefined;
  }

  /** Asks a peer for its view; undefined if no answer arrives in time. */
  async queryView(
    peer: DatagramEndpoint,
    query: MessageInitShape<typeof ViewQuerySchema> = {},
  ): Promise<ViewState | undefined> {
    const answer = await this.#ask(peer, {
      case: "viewQuery",
      value: create(ViewQuerySchema, query),
    });
    return answer?.case === "viewState" ? answer.value : undefined;
  }

  /** Tells a peer of a changed view, which it may miss. */
  announceView(peer: DatagramEndpoint, view: ViewState): void {
    this.#send(peer, {
      exchangeId: 0,
      isAnswer: false,
      content: { case: "viewState", value: view },
    });
  }

  /**
   * Asks a peer whether a generation may be placed; undefined if no answer
   * arrives in time.
   */
  async askPlacement(
    peer: DatagramEndpoint,
    query: MessageInitShape<typeof PlacementQuerySchema>,
  ): Promise<boolean | undefined> {
    const answer = await this.#ask(peer, {
      case: "placementQuery",
      value: create(PlacementQuerySchema, query),
    });
    return answer?.case === "placementAnswer"
      ? answer.value.isGranted
      : undefined;
  }

  /**
   * Asks a peer for a permit to send to a runner with a rate limit; undefined if
   * no answer arrives in time.
   */
  async askPermit(
    peer: DatagramEndpoint,
    query: MessageInitShape<typeof PermitQuerySchema>,
  ): Promise<PermitAnswer | undefined> {
    const answer = await this.#ask(peer, {
      case: "permitQuery",
      value: create(PermitQuerySchema, query),
    });
    return answer?.case === "permitAnswer" ? answer.value : undefined;
  }

  /** Asks a peer where a stream began; undefined if no answer arrives in time. */
  async askStreamOrigin(
    peer: DatagramEndpoint,
    query: MessageInitShape<typeof StreamOriginQuerySchema>,
  ): Promise<StreamOrigin | undefined> {
    const answer = await this.#ask(peer, {
      case: "streamOriginQuery",
      value: create(StreamOriginQuerySchema, query),
    });
    return answer?.case === "streamOriginAnswer" ? answer.value : undefined;
  }

  /** Tells a peer where streams began, which it may miss. */
  sendStreamOrigins(
    peer: DatagramEndpoint,
    origins: MessageInitShape<typeof StreamOriginsSchema>,
  ): void {
    const value = create(StreamOriginsSchema, origins);
    this.#send(peer, {
      exchangeId: 0,
      isAnswer: false,
      content: { case: "streamOrigins", value },
    });
  }

  /** Tells a peer what has been placed on runners, which it may miss. */
  sendLoads(
    peer: DatagramEndpoint,
    loads: MessageInitShape<typeof LoadTableSchema>,
  ): void {
    const value = create(LoadTableSchema, loads);
    this.#send(peer, {
      exchangeId: 0,
      isAnswer: false,
      content: { case: "loads", value },
    });
  }

  close(): void {
    this.#socket?.close();
    this.#socket = undefined;
    for (const { settle } of [...this.#pending.values()]) settle(undefined);
  }

  async #ask(
    peer: DatagramEndpoint,
    content: Content,
  ): Promise<Content | undefined> {
    if (this.#pending.size >= MAX_PENDING) return undefined;
    const exchangeId = this.#nextId;
    this.#nextId = (this.#nextId + 1) % EXCHANGE_ID_COUNT;
    if (!this.#send(peer, { exchangeId, isAnswer: false, content })) {
      return undefined;
    }
    return await new Promise((resolve) => {
      const settle = (answer: Content | undefined) => {
        clearTimeout(timer);
        this.#pending.delete(exchangeId);
        resolve(answer);
      };
      const timer = setTimeout(settle, ANSWER_TIMEOUT_MS, undefined);
      this.#pending.set(exchangeId, { ...peer, settle });
    });
  }

  #receive(
    bytes: Uint8Array,
    from: DatagramEndpoint,
    handlers: DatagramHandlers,
  ): void {
    let datagram: PeerDatagram;
    try {
      datagram = fromBinary(PeerDatagramSchema, bytes);
    } catch (error) {
      this.#logger.warn("peer_datagram_refused", {
        peer: `${from.host}:${from.port}`,
        reason: describeError(error),
      });
      return;
    }
    const { exchangeId, isAnswer, content } = datagram;
    if (isAnswer) {
      const pending = this.#pending.get(exchangeId);
      const isFromPeer =
        pending?.host === from.host && pending.port === from.port;
      if (isFromPeer) pending.settle(content);
      return;
    }
    const answer = this.#handle(content, from, handlers);
    if (answer) {
      this.#send(from, { exchangeId, isAnswer: true, content: answer });
    }
  }

  // A datagram must not end the process, whatever it says.
  #handle(
    content: Content,
    from: DatagramEndpoint,
    handlers: DatagramHandlers,
  ): Content | undefined {
    try {
      return handle(content, from, handlers);
    } catch (error) {
      this.#logger.warn("peer_datagram_refused", {
        peer: `${from.host}:${from.port}`,
        reason: describeError(error),
      });
      return undefined;
    }
  }

  #send(to: DatagramEndpoint, datagram: DatagramInit): boolean {
    if (!this.#socket) return false;
    const fail = (error: unknown) => {
      this.#logger.warn("peer_datagram_not_sent", {
        peer: `${to.host}:${to.port}`,
        reason: describeError(error),
      });
    };
    try {
      const bytes = encode(datagram);
      if (!bytes) return false;
      this.#socket.send(bytes, to.port, to.host, (error) => {
        if (error) fail(error);
      });
    } catch (error) {
      fail(error);
      return false;
    }
    return true;
  }
}

/** Returns undefined if the content does not fit into a datagram. */
function encode(datagram: DatagramInit): Uint8Array | undefined {
  const bytes = toBinary(
    PeerDatagramSchema,
    create(PeerDatagramSchema, datagram),
  );
  const excessBytes = bytes.length - MAX_DATAGRAM_BYTES;
  if (excessBytes <= 0) return bytes;
  if (datagram.content.case !== "digest") return undefined;
  const value = fitDigest(datagram.content.value, excessBytes);
  return value && encode({ ...datagram, content: { case: "digest", value } });
}

function handle(
  content: Content,
  from: DatagramEndpoint,
  handlers: DatagramHandlers,
): Content | undefined {
  switch (content.case) {
    case "digest":
      return { case: "digest", value: handlers.digest(content.value) };
    case "viewQuery":
      return {
        case: "viewState",
        value: handlers.viewQuery(from, content.value),
      };
    case "viewState":
      handlers.viewAnnouncement(from);
      return undefined;
    case "loads":
      handlers.loads?.(from, content.value);
      return undefined;
    case "placementQuery": {
      const isGranted = handlers.placementQuery?.(content.value);
      if (isGranted === undefined) return undefined;
      const value = create(PlacementAnswerSchema, { isGranted });
      return { case: "placementAnswer", value };
    }
    case "permitQuery": {
      const value = handlers.permitQuery?.(content.value);
      return value && { case: "permitAnswer", value };
    }
    case "streamOrigins":
      handlers.streamOrigins?.(content.value);
      return undefined;
    case "streamOriginQuery": {
      const origin = handlers.streamOriginQuery?.(content.value);
      if (!origin) return undefined;
      const value = create(StreamOriginSchema, origin);
      return { case: "streamOriginAnswer", value };
    }
    case "placementAnswer":
    case "permitAnswer":
    case "streamOriginAnswer":
    case undefined:
      return undefined;
  }
}
