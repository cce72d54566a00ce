/** Where a runner's notice was heard. */
export interface NoticeOrigin {
  readonly source: "answer" | "refusal" | "order" | "report";
  /**
   * When the request to which the runner responded was sent, on the monotonic
   * clock; the notice is not older.
   */
  readonly sentAtMs: number;
}
