/** Where a configuration was read. */
export type ConfigSource = "store" | "peer";
