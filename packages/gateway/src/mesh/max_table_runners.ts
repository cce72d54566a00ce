/** With ten bytes for each, a table fits into a datagram beside a view. */
export const MAX_TABLE_RUNNERS = 100;
