/** One whole event of a stream. */
export interface StreamEvent {
  /** As the runner sent it, with the blank line that ends it. */
  readonly bytes: Buffer;
  readonly eventId?: number | undefined;
}
