import type { ChatMessage } from "./chat_message.js";

/** A generation that a caller asks for, after validation. */
export interface GenerationRequest {
  readonly requestId: string;
  readonly serviceId: string;
  readonly teamId: string;
  readonly kindId: string;
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
  readonly isStreamed: boolean;
}
