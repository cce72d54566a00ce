/**
 * Up to this many instances hear of each other's placements within a second
 * by gossip; larger fleets call each other less often and know less.
 */
export const SMALL_FLEET = 16;
