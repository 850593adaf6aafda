package ringspindle.config;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Set;

/**
 * A tenant of the fleet. Its keys are known by their digests only.
 *
 * @param keyDigests digests of its keys, as {@link #digest} makes them
 * @param priority its rank, 0 being served first; it goes before the rank of a route
 * @param ratePerS requests a second that it may have over all nodes, 0 for no limit
 * @param burstSize requests that it may have on top
 * @param homes the regions where its requests may be served
 */
public record Tenant(
        String name, Set<HashCode> keyDigests, int priority, double ratePerS, double burstSize, AllowedRegions homes) {

    /** The digest of a key; {@code tenant.keyDigests().contains(Tenant.digest(key))}. */
    public static HashCode digest(String key) {
        return Hashing.sha256().hashString(key, StandardCharsets.UTF_8);
    }

    /** True if there is a limit to its requests. */
    public boolean isLimited() {
        return ratePerS > 0;
    }
}
