package ringspindle.config;

import com.google.common.collect.Sets;
import java.util.Set;

/**
 * The regions that may serve every request of a host. What is not known is a case of its own: it must not be taken for
 * leave to go anywhere.
 *
 * <pre>{@code
 * AllowedRegions allowed = config.allowedRegions("maps.example");
 * if (allowed.allows("bergen")) { ... }
 * }</pre>
 */
public sealed interface AllowedRegions {
    /** There is no configuration to ask, or it does not know the host. */
    AllowedRegions UNKNOWN = new Unknown();

    /** None of the host's routes has homes. */
    AllowedRegions ANY = new Any();

    /** True if a region is known to be allowed. */
    boolean allows(String region);

    /** True if only some regions may serve it: there are homes. */
    default boolean isRestricted() {
        return this instanceof Only;
    }

    /** The regions that both allow; {@code ofRoute.and(ofTenant)}. */
    default AllowedRegions and(AllowedRegions other) {
        if (this instanceof Unknown || other instanceof Any) {
            return this;
        }
        if (other instanceof Unknown || this instanceof Any) {
            return other;
        }
        return new Only(Set.copyOf(Sets.intersection(((Only) this).regions(), ((Only) other).regions())));
    }

    /** Nothing is known, so no region is known to be allowed. */
    record Unknown() implements AllowedRegions {
        @Override
        public boolean allows(String region) {
            return false;
        }
    }

    /** Every region may serve it. */
    record Any() implements AllowedRegions {
        @Override
        public boolean allows(String region) {
            return true;
        }
    }

    /**
     * Some regions may serve it.
     *
     * @param regions a home of each of the host's routes that have homes; empty if these have none in common
     */
    record Only(Set<String> regions) implements AllowedRegions {
        @Override
        public boolean allows(String region) {
            return regions.contains(region);
        }
    }
}
