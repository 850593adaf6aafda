package ringspindle.controlplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
import ringspindle.protocol.TenantMessage.QuotaNeed;
import ringspindle.quota.HeadChanges;
import ringspindle.quota.TenantBuckets;
import ringspindle.quota.TenantLimit;

/**
 * Grants data nodes leave to admit requests of tenants, while this node is the head of the view and proven to be so; else passes on
 * what data nodes ask for, and the answers. Owns the buckets, guarded by a lock of its own, under which no other is taken.
 */
final class QuotaHandler {
    /** Of a tenant that the configuration does not limit, or does not know: its key was withdrawn a moment ago. */
    private static final int UNLIMITED_GRANT = 1000;

    private final Object lock = new Object();
    private final NodeContext context;
    private final ReplicationDriver replication;
    private final ServingState serving;
    private final HeadChanges headChanges;
    private final TenantBuckets buckets;
    private final Map<String, TenantLimit> limits = new HashMap<>();
    private long limitsRevision = -1;

    /**
     * Grants nothing yet.
     *
     * @param foundsFleet true if this process started without any memory at the first start of the fleet
     */
    QuotaHandler(NodeContext context, ReplicationDriver replication, ServingState serving, boolean foundsFleet) {
        this.context = context;
        this.replication = replication;
        this.serving = serving;
        headChanges = new HeadChanges(foundsFleet);
        buckets = new TenantBuckets(headChanges);
    }

    /** Time goes on: notes which view is in force. */
    void tick() {
        View view = replication.view();
        if (view != null) {
            synchronized (lock) {
                headChanges.observe(view.epoch(), view.head(), context.nowMs());
            }
        }
    }

    /** A data node asks, itself or through another control node. */
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
        List<QuotaLeave> leaves = new ArrayList<>();
        synchronized (lock) {
            if (committed == null || !serving.quorate() || serving.quorumProofAgeMs() > HeadChanges.PROOF_MS) {
                return;
            }
            long nowMs = context.nowMs();
            refreshLimits(committed);
            headChanges.observe(view.epoch(), view.head(), nowMs);
            buckets.lead();
            ask.rows().forEach(row -> leaves.add(grant(row, nowMs)));
        }
        context.mesh().send(from, new QuotaGrant(ask.origin(), ask.seq(), leaves));
    }

    private QuotaLeave grant(QuotaNeed asked, long nowMs) {
        TenantLimit limit = limits.get(asked.tenant());
        return limit == null
                ? new QuotaLeave(asked.tenant(), Math.min(UNLIMITED_GRANT, asked.need()), 0)
                : buckets.grant(asked, limit, nowMs);
    }

    private void refreshLimits(State committed) {
        if (committed.revision() == limitsRevision) {
            return;
        }
        limitsRevision = committed.revision();
        limits.clear();
        if (committed.config().length > 0
                && FleetConfig.read(FleetConfig.unpack(committed.config()))
                        instanceof Validated.Valid<FleetConfig> configuration) {
            for (Tenant tenant : configuration.value().tenants()) {
                if (tenant.isLimited()) {
                    limits.put(tenant.name(), new TenantLimit(tenant.ratePerS(), tenant.burstSize()));
                }
            }
        }
    }

    /** The head's answer, on its way to a data node that asked through this node. */
    void received(QuotaGrant grant) {
        context.mesh().send(grant.origin(), grant);
    }
}
