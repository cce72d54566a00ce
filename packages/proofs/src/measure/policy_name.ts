/** The policies that are measured side by side. */
export type PolicyName = "round_robin" | "least_load" | "ours";
