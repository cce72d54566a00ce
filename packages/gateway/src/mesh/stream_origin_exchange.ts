import type { PeerDatagrams } from "@jujubeladder/coordination";
import type { StreamOrigin as StreamOriginMessage } from "@jujubeladder/protocol";
import {
  firstDefined,
  rankByRendezvous,
  settleWithin,
} from "@jujubeladder/utils";
import type { StreamOrigin } from "../model/stream_origin.js";
import type { StreamOrigins } from "../views/stream_origins.js";
import { parseAddress } from "./parse_address.js";

/** A loss of a third of the fleet takes all copies of one origin in 27. */
const COPIES = 3;
/** Origins of this time are told together. */
const TELL_DELAY_MS = 10;
/** Names and ids of one datagram, which has 1,400 bytes. */
const MAX_TOLD_LENGTH = 1_000;
/** Of one origin beside its names and its id. */
const ORIGIN_FRAMING_LENGTH = 9;
/** Two round trips between regions, and a busy peer. */
const ANSWER_TIMEOUT_MS = 150;
const MAX_NAME_LENGTH = 200;

/** Dependencies of the exchange. */
interface StreamOriginDependencies {
  readonly ownId: string;
  readonly origins: StreamOrigins;
  readonly listPeerIds: () => readonly string[];
  readonly datagrams: Pick<
    PeerDatagrams,
    "sendStreamOrigins" | "askStreamOrigin"
  >;
}

/**
 * Tells a few other instances, by rendezvous hash of the request id, where streams
 * began, and asks them where a stream did that a caller takes up here.
 */
export class StreamOriginExchange {
  readonly #dependencies: StreamOriginDependencies;
  /** What is to be told, by peer. */
  readonly #untold = new Map<string, StreamOriginMessageInit[]>();
  #timer: NodeJS.Timeout | undefined;

  constructor(dependencies: StreamOriginDependencies) {
    this.#dependencies = dependencies;
  }

  tell(requestId: string, origin: StreamOrigin): void {
    for (const peerId of this.#pickHolders(requestId)) {
      const untold = this.#untold.get(peerId) ?? [];
      untold.push({ requestId, ...origin });
      this.#untold.set(peerId, untold);
    }
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined;
      this.#flush();
    }, TELL_DELAY_MS);
  }

  /** Asks the instances that would have been told; undefined if none knows. */
  async find(requestId: string): Promise<StreamOrigin | undefined> {
    const { datagrams } = this.#dependencies;
    const asked = this.#pickHolders(requestId).flatMap((peerId) => {
      const address = parseAddress(peerId);
      return address ? [datagrams.askStreamOrigin(address, { requestId })] : [];
    });
    if (asked.length === 0) return undefined;
    const first = firstDefined(
      asked.map(async (answer) => decodeOrigin(await answer)),
    );
    return await settleWithin(first, ANSWER_TIMEOUT_MS);
  }

  /** Records what a peer tells. */
  record(messages: readonly StreamOriginMessage[]): void {
    for (const message of messages) {
      const origin = decodeOrigin(message);
      if (origin && message.requestId)
        this.#dependencies.origins.record(message.requestId, origin);
    }
  }

  /** Answers a peer that asks. */
  answer(requestId: string): StreamOriginMessageInit {
    const origin = this.#dependencies.origins.find(requestId);
    return {
      requestId,
      serviceId: origin?.serviceId ?? "",
      softwareVersion: origin?.softwareVersion ?? "",
    };
  }

  #pickHolders(requestId: string): readonly string[] {
    const { ownId, listPeerIds } = this.#dependencies;
    return rankByRendezvous(requestId, [ownId, ...listPeerIds()])
      .slice(0, COPIES + 1)
      .filter((id) => id !== ownId)
      .slice(0, COPIES);
  }

  #flush(): void {
    for (const [peerId, origins] of this.#untold) {
      const address = parseAddress(peerId);
      if (!address) continue;
      for (const told of splitByLength(origins))
        this.#dependencies.datagrams.sendStreamOrigins(address, {
          origins: told,
        });
    }
    this.#untold.clear();
  }
}

type StreamOriginMessageInit = StreamOrigin & { readonly requestId: string };

function splitByLength(
  origins: readonly StreamOriginMessageInit[],
): readonly StreamOriginMessageInit[][] {
  const parts: StreamOriginMessageInit[][] = [];
  let leftLength = 0;
  for (const origin of origins) {
    const { requestId, serviceId, softwareVersion } = origin;
    const length =
      Buffer.byteLength(requestId + serviceId + softwareVersion) +
      ORIGIN_FRAMING_LENGTH;
    if (length > leftLength) {
      parts.push([]);
      leftLength = MAX_TOLD_LENGTH;
    }
    parts.at(-1)?.push(origin);
    leftLength -= length;
  }
  return parts;
}

function decodeOrigin(
  message: StreamOriginMessage | undefined,
): StreamOrigin | undefined {
  if (!message) return undefined;
  const { serviceId, softwareVersion } = message;
  const areNames = [serviceId, softwareVersion].every(
    (name) => name !== "" && name.length <= MAX_NAME_LENGTH,
  );
  return areNames ? { serviceId, softwareVersion } : undefined;
}
