/**
 * open: passes all. stalled: holds all bytes until opened again. cut: drops
 * all bytes. silent: drops the bytes of connections that exist now, for
 * good, while new ones pass. deaf: drops what the far end answers.
 */
export type LinkMode = "open" | "stalled" | "cut" | "silent" | "deaf";
