import type { ChatMessage } from "./chat_message.js";

/** A caller's validated request for a generation. */
export interface GenerationRequest {
  readonly requestId: string;
  readonly serviceId: string;
  readonly teamId: string;
  readonly kindId: string;
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
  readonly isStreamed: boolean;
}
