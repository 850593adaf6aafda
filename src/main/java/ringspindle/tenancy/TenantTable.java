package ringspindle.tenancy;

import com.google.common.hash.HashCode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import ringspindle.config.FleetConfig;
import ringspindle.config.Tenant;

/**
 * The tenants of one configuration, by the digests of their keys. Immutable.
 *
 * <pre>{@code
 * Identity identity = TenantTable.of(configuration).identify(route, request.authorization(), lease.isValid(nowMs));
 * }</pre>
 */
public final class TenantTable {
    private final Map<HashCode, Tenant> byKey = new HashMap<>();
    private final boolean requiresKeys;

    private TenantTable(FleetConfig configuration) {
        requiresKeys = configuration.requiresKeys();
        configuration.tenants().forEach(tenant -> tenant.keyDigests().forEach(digest -> byKey.put(digest, tenant)));
    }

    /** The tenants of that configuration. */
    public static TenantTable of(FleetConfig configuration) {
        return new TenantTable(configuration);
    }

    /** False where whoever asks is served; that no tenant has a key left does not make it so. */
    public boolean requiresKeys() {
        return requiresKeys;
    }

    /**
     * Who sends a request.
     *
     * @param authorization the values of its Authorization fields
     * @param certain what is known of keys is new enough: no key can have been withdrawn for too long
     */
    public Identity identify(FleetConfig.Route route, List<String> authorization, boolean certain) {
        if (!requiresKeys) {
            return new Identity.Anyone(false);
        }
        if (!certain && !route.isPublic()) {
            return new Identity.Uncertain();
        }
        Optional<Tenant> holder = BearerToken.read(authorization).map(key -> byKey.get(Tenant.digest(key)));
        if (holder.isPresent() && certain) {
            return new Identity.Known(holder.get());
        }
        return route.isPublic() ? new Identity.Anyone(true) : new Identity.Unknown();
    }
}
