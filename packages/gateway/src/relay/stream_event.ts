/** One complete server-sent event. */
export interface StreamEvent {
  /** The event as sent by the runner, including the terminating blank line. */
  readonly bytes: Buffer;
  /** Numeric `id` field; absent if the event has none. */
  readonly eventId?: number | undefined;
}
