import type { Socket } from "node:net";

/** Sends a text again and again at an interval until the connection closes. */
export function dripBytes(
  socket: Socket,
  text: string,
  intervalMs: number,
): void {
  const timer = setInterval(() => {
    if (socket.writable) socket.write(text);
  }, intervalMs);
  socket.once("close", () => {
    clearInterval(timer);
  });
}
