package ringspindle.proxy;

import java.util.List;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import ringspindle.config.FleetConfig;
import ringspindle.tenancy.Identity;
import ringspindle.tenancy.KeyLease;
import ringspindle.tenancy.TenantTable;

/** Tells who sends a request: by its key, as long as what is known of keys is new enough. Thread safe. */
final class CallerIdentification {
    /** The tenants of a configuration, made once for each. */
    private record Tenants(FleetConfig configuration, TenantTable table) {}

    private final KeyLease lease;
    private volatile Tenants tenants;

    CallerIdentification(KeyLease lease) {
        this.lease = lease;
    }

    /** Who sends the request under that configuration. */
    Identity identify(Request request, FleetConfig configuration, FleetConfig.Route route, long nowMs) {
        Tenants current = tenants;
        if (current == null || current.configuration() != configuration) {
            current = new Tenants(configuration, TenantTable.of(configuration));
            tenants = current;
        }
        if (current.table().isEmpty()) {
            return new Identity.Anyone(false);
        }
        List<String> authorization = request.getHeaders().getValuesList(HttpHeader.AUTHORIZATION);
        return current.table().identify(route, authorization, lease.isValid(nowMs));
    }

    /** See {@link Proxy#confirmUpToDate}. */
    void confirmUpToDate(long heartbeatSentMs) {
        lease.prove(heartbeatSentMs);
    }
}
