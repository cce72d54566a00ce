import type { IncomingMessage } from "node:http";
import { estimateHeadBytes } from "../decisions/estimate_head_bytes.js";
import { ByteCollector } from "../transport/byte_collector.js";
import type { DenseUploads } from "./dense_uploads.js";
import type { UploadMemory } from "./upload_memory.js";

/**
 * Bytes beside as many as the body has that its chunks' framing may take, so that
 * it can't consist of millions of tiny chunks. Covers what one read may hold
 * beyond the bytes that have been parsed.
 */
const MAX_FRAMING_BYTES = 128 * 1_024;
/** The rest of a refused body that is read, so that its caller can go on. */
const MAX_REST_BYTES = 16 * 1_024;

interface BodyLimits {
  readonly maxBytes: number;
  /** Shared by all bodies. */
  readonly memory: UploadMemory;
  readonly denseUploads: DenseUploads;
  /** Called for each part of the body that arrives. */
  readonly onProgress: () => void;
}

/** Result of reading a request body. */
type BodyOutcome =
  | {
      readonly type: "complete";
      readonly body: Buffer;
      readonly release: () => void;
    }
  /** It is longer than a body may be. */
  | { readonly type: "too_large" }
  /** It may be that long, but there is no memory for it now. */
  | { readonly type: "no_room" }
  | { readonly type: "too_many_chunks" }
  /** Too many bodies with tiny chunks arrive now. */
  | { readonly type: "too_dense" }
  /** The caller closed the connection before the end of the body. */
  | { readonly type: "aborted" };

/**
 * Buffers a request body of at most `maxBytes` bytes if `memory` has room for it
 * and for the request's head. Little
 * more of one for which it has none is read and dropped, as that makes garbage
 * faster than it is collected. `release` gives the memory of a complete request back.
 */
export async function readBody(
  request: IncomingMessage,
  { maxBytes, memory, denseUploads, onProgress }: BodyLimits,
): Promise<BodyOutcome> {
  const declared = Number(request.headers["content-length"] ?? 0);
  if (declared > maxBytes) return { type: "too_large" };
  const { socket } = request;
  const headBytes = estimateHeadBytes(request.rawHeaders);
  const bytesReadBefore = socket.bytesRead;
  return await new Promise((resolve) => {
    const upload = memory.begin(() => {
      refuse("no_room");
    });
    const hasRoomForHead = upload.tryAcquireHead(headBytes);
    const collector = new ByteCollector(maxBytes, upload, 0);
    let byteCount = 0;
    let chunkCount = 0;
    let restBytes = 0;
    let isKept = true;
    const clear = () => {
      collector.clear();
      upload.releaseHead();
    };
    const finish = () => {
      memory.finish(upload);
      denseUploads.finish(upload);
    };
    const refuse = (
      type: "no_room" | "too_large" | "too_many_chunks" | "too_dense",
    ) => {
      finish();
      clear();
      dropHead(request);
      isKept = false;
      resolve({ type });
    };
    if (!hasRoomForHead) refuse("no_room");
    else if (declared > 0 && !memory.hasRoomFor(upload, declared))
      refuse("no_room");
    request.on("data", (chunk: Buffer) => {
      byteCount += chunk.length;
      if (!isKept) {
        restBytes += chunk.length;
        if (byteCount > maxBytes) request.destroy();
        else if (restBytes > MAX_REST_BYTES) request.pause();
        return;
      }
      chunkCount += 1;
      upload.recordProgress();
      onProgress();
      const framingBytes = socket.bytesRead - bytesReadBefore - byteCount;
      const hasTooManyChunks = framingBytes > MAX_FRAMING_BYTES + byteCount;
      if (byteCount > maxBytes || hasTooManyChunks) {
        request.pause();
        refuse(hasTooManyChunks ? "too_many_chunks" : "too_large");
        return;
      }
      const received = { chunks: chunkCount, bytes: byteCount };
      if (!denseUploads.admit(upload, received)) refuse("too_dense");
      else if (collector.append(chunk) !== undefined) refuse("no_room");
    });
    const abort = () => {
      finish();
      clear();
      resolve({ type: "aborted" });
    };
    request.on("close", abort);
    request.on("error", abort);
    request.on("end", () => {
      request.off("close", abort);
      finish();
      resolve({ type: "complete", body: collector.bytes, release: clear });
    });
  });
}

/** Gives the head's memory back before the connection of a refused body ends. */
function dropHead(request: IncomingMessage): void {
  request.rawHeaders = [];
  request.headers = {};
}
