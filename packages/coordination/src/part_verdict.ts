/** Verdict on one prompt part, from the losses that no other part explains. */
export type PartVerdict =
  | { readonly type: "suspected"; readonly lostRunners: number }
  /** Convicted so long ago that a trial is allowed. */
  | { readonly type: "lapsed"; readonly lostRunners: number }
  | {
      readonly type: "convicted";
      /** The parts that were lost with the same runners, this one included. */
      readonly members: readonly string[];
      readonly lostRunners: number;
    };
