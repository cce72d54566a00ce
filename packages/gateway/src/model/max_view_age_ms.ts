/** Older views of peers are rejected, as a leaving runner gives 2 s of notice. */
export const MAX_VIEW_AGE_MS = 1_800;
