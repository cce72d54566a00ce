/** One message of a chat-completions request. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}
