import type { Socket } from "node:net";

const CHUNK_BYTES = 65_536;

/** Sends a text again and again, without a pause, until the connection closes. */
export function floodBytes(socket: Socket, text: string): void {
  const chunk = text.repeat(Math.ceil(CHUNK_BYTES / text.length));
  const write = () => {
    while (socket.writable && !socket.writableNeedDrain) socket.write(chunk);
  };
  socket.on("drain", write);
  write();
}
