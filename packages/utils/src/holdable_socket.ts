import { Socket } from "node:net";
import process from "node:process";

/**
 * A socket whose reader can be held up from the outside. The HTTP client must not
 * pause its own parser: an end, a reset or a close that meets a paused parser
 * fails an assertion, which ends the process.
 */
export class HoldableSocket extends Socket {
  #isHeld = false;

  override read(size?: number): unknown {
    // A size of zero only asks for more bytes to be buffered.
    return this.#isHeld && size !== 0 ? null : super.read(size);
  }

  /** Leaves what arrives in the buffer, and then at the other end. */
  hold(): void {
    this.#isHeld = true;
  }

  release(): void {
    if (!this.#isHeld) return;
    this.#isHeld = false;
    // Those who read learn only of further bytes by themselves, and may be
    // reading at this moment.
    process.nextTick(() => {
      if (!this.#isHeld && !this.destroyed) this.emit("readable");
    });
  }
}
