/**
 * Names of the counters. `requests_failed` counts those whose handling threw,
 * `answers_cut` counts responses aborted after their
 * head, `moves` the migrations of running generations, `preemptions_seen` the
 * preemptions that engines reported, `runners_leaving` the runners that became
 * unusable as they leave, `runners_returned` those of them whose absence from
 * the store was withdrawn, `runner_pauses` the pauses that runners asked for,
 * and `withheld_…` the requests that were about to be written to a runner when
 * data residency, an evacuation, the limit of a cold runner or the rate limit that
 * a runner states came to bar them. `streams_taken_up` counts the streams that
 * callers took up again, `streams_not_taken_up` those of them that were refused as
 * it is not known at which software version they began. `version_checks_…` counts
 * the questions whether a service has had one version only, by their answer.
 */
export type CounterName =
  | "tokens"
  | "decisions"
  | "retries"
  | "resumes"
  | "preemptions_seen"
  | "runners_lost"
  | "runners_leaving"
  | "runners_returned"
  | "runner_pauses"
  | "withheld_residency"
  | "withheld_evacuation"
  | "withheld_cold"
  | "withheld_limit"
  | "refusals"
  | "bodies_without_room"
  | "connections_evicted"
  | "requests"
  | "requests_failed"
  | "attempts"
  | "callers_left"
  | "answers_cut"
  | "moves"
  | "streams_taken_up"
  | "streams_not_taken_up"
  | "version_checks_one"
  | "version_checks_several"
  | "version_checks_not_confirmed"
  | "log_lines_dropped";
