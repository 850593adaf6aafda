package ringspindle.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import ringspindle.protocol.TenantMessage.QuotaLeave;
import ringspindle.protocol.TenantMessage.QuotaNeed;

/**
 * What tenants may have by the configuration in force at the head, and what is granted of it. A tenant that the configuration does
 * not have is not one without a limit: a data node asks for it because it holds another configuration, an older one or one that is
 * known there a moment earlier. Not thread safe.
 */
public final class TenantLimits {
    /** Maximum grant, in requests, for a tenant without a limit. */
    private static final int MAX_UNLIMITED_GRANT = 1000;
    /** What a data node is told to wait for an unknown tenant; so long that its requests are refused and do not wait and ask again. */
    private static final int UNKNOWN_WAIT_MS = 1000;

    /** By tenant; empty for one without a limit. */
    private final Map<String, Optional<TenantLimit>> limits = new HashMap<>();

    /**
     * Another configuration is in force.
     *
     * @param byTenant the limits of all its tenants, empty for one without a limit
     */
    public void update(Map<String, Optional<TenantLimit>> byTenant) {
        limits.clear();
        limits.putAll(byTenant);
    }

    /** Grants what may be had of what a node asks for. */
    public QuotaLeave grant(QuotaNeed asked, TenantBuckets buckets, long nowMs) {
        Optional<TenantLimit> limit = limits.get(asked.tenant());
        if (limit == null) {
            return new QuotaLeave(asked.tenant(), 0, UNKNOWN_WAIT_MS);
        }
        return limit.isEmpty()
                ? new QuotaLeave(asked.tenant(), Math.min(MAX_UNLIMITED_GRANT, asked.need()), 0)
                : buckets.grant(asked, limit.get(), nowMs);
    }
}
