import type { MessageInitShape } from "@bufbuild/protobuf";
import type {
  Digest,
  LoadTable,
  PermitAnswer,
  PermitQuery,
  StreamOriginQuery,
  StreamOriginSchema,
  StreamOrigins,
  PlacementQuery,
  ViewQuery,
  ViewState,
} from "@jujubeladder/protocol";
import type { DatagramEndpoint } from "./datagram_endpoint.js";

/** Answers the datagrams of peers. */
export interface DatagramHandlers {
  readonly digest: (digest: Digest) => Digest;
  readonly viewQuery: (from: DatagramEndpoint, query: ViewQuery) => ViewState;
  /** The peer's view has changed. */
  readonly viewAnnouncement: (from: DatagramEndpoint) => void;
  /** The peer is about to place a generation; true if it may. */
  readonly placementQuery?: (query: PlacementQuery) => boolean;
  /** The peer asks for a permit to send to a runner with a rate limit. */
  readonly permitQuery?: (query: PermitQuery) => PermitAnswer;
  /** The peer tells where streams began. */
  readonly streamOrigins?: (origins: StreamOrigins) => void;
  /** The peer asks where a stream began. */
  readonly streamOriginQuery?: (
    query: StreamOriginQuery,
  ) => MessageInitShape<typeof StreamOriginSchema>;
  /** The peer states what has been placed on runners. */
  readonly loads?: (from: DatagramEndpoint, loads: LoadTable) => void;
}
