/**
 * Up to this many instances, gossip spreads placements to all peers within a
 * second. Larger fleets exchange gossip less often and have staler views.
 */
export const SMALL_FLEET_MAX_INSTANCES = 16;
