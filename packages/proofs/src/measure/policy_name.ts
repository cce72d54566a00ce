/** Names of the compared policies; `ours` is the product's scheduler. */
export type PolicyName = "round_robin" | "least_load" | "ours";
