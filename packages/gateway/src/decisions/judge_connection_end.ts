import type { EndedProcess } from "../model/ended_process.js";

/**
 * Decides whether an answer is whole of which only the orderly end of its
 * connection tells the end; returns why that is not known, or undefined if it is
 * whole. A process that is killed ends its connections in an orderly way, too.
 */
export function judgeConnectionEnd(end: {
  /** An order to stop the run was on its way, which ends its stream early. */
  readonly mayHaveStopped: boolean;
  /** What is known of the process that ran the request, after the end. */
  readonly process: EndedProcess;
}): string | undefined {
  if (end.mayHaveStopped) return "the connection ended while the run moved";
  switch (end.process) {
    case "alive":
      return undefined;
    case "gone":
      return "the connection ended with the runner's process";
    case "replaced":
      return "the connection ended and the runner has started again";
    case "silent":
      return "the connection ended and the runner does not respond";
    case "not_known":
      return "the connection ended and the runner may have started again";
  }
}
