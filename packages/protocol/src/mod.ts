/** Peer protocol of entry instances; source: proto/jujubeladder/peer/v1. */
export * from "./generated/jujubeladder/peer/v1/peer_pb.js";
