/** State of a runner or instance in the platform's instance list. */
export type MemberState = "live" | "leaving";
