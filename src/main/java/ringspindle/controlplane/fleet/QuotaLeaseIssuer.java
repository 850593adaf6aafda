package ringspindle.controlplane.fleet;

import java.util.List;
import ringspindle.protocol.Codec;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.Lease;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/**
 * Grants each data node its share of the budgets as a lease, which is a singleton role of the head of the view. Guarded
 * by the fleet's lock.
 */
public final class QuotaLeaseIssuer {
    private static final int LEASE_TTL_MS = 3000;
    private static final int TAKEOVER_MARGIN_MS = 500;
    /** Leases that another head granted have expired this long after this node took the role over. */
    private static final int TAKEOVER_MS = LEASE_TTL_MS + TAKEOVER_MARGIN_MS;

    private static final int GRANT_PERIOD_TICKS = 10;

    private final FleetFacts facts;
    private final DataNodeDirectory dataNodes;
    private final HeadLease lease;

    QuotaLeaseIssuer(NodeId self, FleetFacts facts, DataNodeDirectory dataNodes) {
        this.facts = facts;
        this.dataNodes = dataNodes;
        lease = new HeadLease(self, TAKEOVER_MS);
    }

    /**
     * Grants leases if they are due and this node holds the role.
     *
     * @param view the newest view, null if unknown
     * @param quorate whether a majority confirms the view; without, nothing is granted
     */
    public void tick(View view, boolean quorate, long ticks, long nowMs) {
        if (lease.renew(view, quorate, nowMs) && ticks % GRANT_PERIOD_TICKS == 0) {
            grant(view.epoch(), nowMs);
        }
    }

    private void grant(long epoch, long nowMs) {
        int sharers = dataNodes.countActive(nowMs);
        if (sharers == 0) {
            return;
        }
        facts.merge(List.of(new Fact(
                FactKind.LEASE,
                "",
                epoch,
                facts.nextVersion(FactKind.LEASE, "", epoch),
                Codec.encode(new Lease(epoch, sharers, LEASE_TTL_MS)))));
    }
}
