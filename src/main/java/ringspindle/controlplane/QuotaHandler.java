package ringspindle.controlplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import ringspindle.config.FleetConfig;
import ringspindle.config.Tenant;
import ringspindle.config.Validated;
import ringspindle.controlplane.fleet.NodeContext;
import ringspindle.protocol.Message.State;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.TenantMessage.QuotaAsk;
import ringspindle.protocol.TenantMessage.QuotaGrant;
import ringspindle.protocol.TenantMessage.QuotaLeave;
import ringspindle.quota.HeadChanges;
import ringspindle.quota.TenantBuckets;
import ringspindle.quota.TenantLimit;
import ringspindle.quota.TenantLimits;

/**
 * Grants data nodes quota for requests of tenants while this node is the proven head of the view. On other nodes it
 * forwards the requests of data nodes to the head, and the replies back. Owns the token buckets, guarded by its own
 * lock; no other lock is acquired while that lock is held.
 */
final class QuotaHandler {
    private final Object lock = new Object();
    private final NodeContext context;
    private final ReplicationDriver replication;
    private final ServingState serving;
    private final HeadChanges headChanges;
    private final TenantBuckets buckets;
    private final TenantLimits limits = new TenantLimits();
    private long limitsRevision = -1;

    /**
     * Creates a handler that has granted nothing.
     *
     * @param initialFleetStart true if this process started without stored state during the first start of the fleet
     */
    QuotaHandler(NodeContext context, ReplicationDriver replication, ServingState serving, boolean initialFleetStart) {
        this.context = context;
        this.replication = replication;
        this.serving = serving;
        headChanges = new HeadChanges(initialFleetStart);
        buckets = new TenantBuckets(headChanges);
    }

    /** Records the current view. */
    void tick() {
        View view = replication.view();
        if (view != null) {
            synchronized (lock) {
                headChanges.observe(view.epoch(), view.head(), context.nowMs());
            }
        }
    }

    /** Handles a quota request of a data node, sent directly or forwarded by another control node. */
    void received(NodeId from, QuotaAsk ask) {
        View view = replication.view();
        if (view == null) {
            return;
        }
        if (!view.head().equals(context.self())) {
            boolean fromDataNode = ask.origin().equals(from);
            if (fromDataNode) {
                context.mesh().send(view.head(), ask);
            }
            return;
        }
        State committed = replication.committed();
        List<QuotaLeave> grants = new ArrayList<>();
        synchronized (lock) {
            if (committed == null || !serving.quorate() || serving.quorumProofAgeMs() > HeadChanges.PROOF_MS) {
                return;
            }
            long nowMs = context.nowMs();
            refreshLimits(committed);
            headChanges.observe(view.epoch(), view.head(), nowMs);
            buckets.lead();
            ask.rows().forEach(row -> grants.add(limits.grant(row, buckets, nowMs)));
        }
        context.mesh().send(from, new QuotaGrant(ask.origin(), ask.seq(), grants));
    }

    private void refreshLimits(State committed) {
        if (committed.revision() == limitsRevision) {
            return;
        }
        limitsRevision = committed.revision();
        Map<String, Optional<TenantLimit>> byTenant = new HashMap<>();
        if (committed.config().length > 0
                && FleetConfig.read(FleetConfig.unpack(committed.config()))
                        instanceof Validated.Valid<FleetConfig> configuration) {
            configuration.value().tenants().forEach(tenant -> byTenant.put(tenant.name(), limitOf(tenant)));
        }
        limits.update(byTenant);
    }

    private static Optional<TenantLimit> limitOf(Tenant tenant) {
        return tenant.isLimited()
                ? Optional.of(new TenantLimit(tenant.ratePerS(), tenant.burstSize()))
                : Optional.empty();
    }

    /** Forwards the reply of the head to the data node that sent its request through this node. */
    void received(QuotaGrant grant) {
        context.mesh().send(grant.origin(), grant);
    }
}
