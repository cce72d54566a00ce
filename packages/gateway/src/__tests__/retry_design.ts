/** How a modelled instance treats resumptions in its retry budget. */
export type RetryDesign =
  /** Retries leave a reserve; a run's resumption is booked at the notice. */
  | "reserve, early"
  /** The same, booked when the run is to stop. */
  | "reserve"
  /** Resumptions are counted and always allowed. */
  | "resumptions always"
  /** Whatever comes first is allowed. */
  | "no reserve";
