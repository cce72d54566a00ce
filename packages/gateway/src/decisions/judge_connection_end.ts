import type { PortContact } from "@jujubeladder/utils";

/**
 * Decides whether an answer is whole of which only the orderly end of its
 * connection tells the end; returns why that is not known, or undefined if it is
 * whole. A process that is killed ends its connections in an orderly way, too.
 */
export function judgeConnectionEnd(end: {
  /** An order to stop the run was on its way, which ends its stream early. */
  readonly mayHaveStopped: boolean;
  /** What the runner's port did just after the end. */
  readonly contact: PortContact;
}): string | undefined {
  if (end.mayHaveStopped) return "the connection ended while the run moved";
  switch (end.contact) {
    case "accepted":
      return undefined;
    case "refused":
      return "the connection ended with the runner's process";
    case "silent":
      return "the connection ended and the runner does not respond";
  }
}
