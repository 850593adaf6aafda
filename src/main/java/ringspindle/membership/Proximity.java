package ringspindle.membership;

import ringspindle.protocol.Message.Hello;

/** How near a peer is to a place, nearest first, so that constants compare by distance. */
public enum Proximity {
    /** In the same zone. */
    SAME_ZONE,
    /** In another zone of the same region. */
    SAME_REGION,
    /** In another region. */
    REMOTE;

    /**
     * Judges a peer by what it says of itself.
     *
     * @param peer the peer's greeting
     * @param zone the zone of the place that it is compared with
     * @param region the region of that place
     */
    public static Proximity of(Hello peer, String zone, String region) {
        if (peer.zone().equals(zone)) {
            return SAME_ZONE;
        }
        return peer.region().equals(region) ? SAME_REGION : REMOTE;
    }

    /** True if this is nearer than the other; {@code SAME_ZONE.nearerThan(REMOTE)}. */
    public boolean nearerThan(Proximity other) {
        return compareTo(other) < 0;
    }
}
