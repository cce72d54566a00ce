/** The way back to one caller. */
export interface CallerAnswer {
  /** Aborts when the caller has left before the answer was complete. */
  readonly gone: AbortSignal;
  /** The head has been sent; nothing but the rest of the body may follow. */
  readonly hasBegun: boolean;
  /** With `endsWithConnection` the body has no other end; see `RunnerAnswer`. */
  begin(
    statusCode: number,
    headers: readonly string[],
    options?: { readonly endsWithConnection: boolean },
  ): void;
  /** Returns false when the caller reads more slowly; see `onDrain`. */
  write(chunk: Uint8Array): boolean;
  onDrain(resume: () => void): void;
  end(chunk?: Uint8Array): void;
  /** Closes the connection, so that the answer cannot look complete. */
  abort(): void;
}
