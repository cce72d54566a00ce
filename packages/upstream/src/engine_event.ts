/** What an engine's stream yields. After broken the stream has ended. */
export type EngineEvent =
  | { readonly type: "token"; readonly offset: number; readonly text: string }
  | { readonly type: "preempted" }
  | {
      readonly type: "finished";
      readonly finishReason: string;
      readonly tokenCount: number;
    }
  | {
      readonly type: "broken";
      readonly reason: string;
      readonly isSilent: boolean;
    };
