/**
 * How a link treats bytes.
 *
 * - `open`: forwards both ways.
 * - `stalled`: buffers both ways until the link is opened again.
 * - `cut`: drops both ways; connections open meanwhile never recover.
 * - `silent`: drops both ways on the connections open now, which never
 *   recover; new ones are forwarded.
 * - `deaf`: drops bytes from upstream only.
 */
export type LinkMode = "open" | "stalled" | "cut" | "silent" | "deaf";
