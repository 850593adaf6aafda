package ringspindle.proxy;

import java.util.List;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import ringspindle.config.FleetConfig;
import ringspindle.tenancy.Identity;
import ringspindle.tenancy.KeyLease;
import ringspindle.tenancy.TenantTable;

/** Identifies the sender of a request by its API key while the node's key data is fresh enough. Thread safe. */
final class CallerIdentification {
    /** The tenant table of a configuration, built once per configuration. */
    private record Tenants(FleetConfig configuration, TenantTable table) {}

    private final KeyLease lease;
    private volatile Tenants tenants;

    CallerIdentification(KeyLease lease) {
        this.lease = lease;
    }

    /** Identifies the sender of the request under the given configuration. */
    Identity identify(Request request, FleetConfig configuration, FleetConfig.Route route, long nowMs) {
        Tenants current = tenants;
        if (current == null || current.configuration() != configuration) {
            current = new Tenants(configuration, TenantTable.of(configuration));
            tenants = current;
        }
        if (!current.table().requiresKeys()) {
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
