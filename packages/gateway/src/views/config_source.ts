/** Where a configuration was read from. */
export type ConfigSource = "store" | "peer";
