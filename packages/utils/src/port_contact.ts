/** What came of a connection to a port; `silent`: nothing responded. */
export type PortContact = "accepted" | "refused" | "silent";
