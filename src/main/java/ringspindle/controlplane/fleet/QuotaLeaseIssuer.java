package ringspindle.controlplane.fleet;

import java.util.List;
import ringspindle.protocol.Codec;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.Lease;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/**
 * Grants every data node its share of the budgets, as a lease: the singleton role of the head of the view. Guarded by the
 * fleet's lock.
 */
public final class QuotaLeaseIssuer {
    private static final int TTL_MS = 3000;
    /** What another head granted has run out so long after this node took the role over. */
    private static final int TAKEOVER_MS = TTL_MS + 500;

    private static final int PERIOD_TICKS = 10;

    private final FleetFacts facts;
    private final DataNodeDirectory dataNodes;
    private final HeadLease lease;

    QuotaLeaseIssuer(NodeId me, FleetFacts facts, DataNodeDirectory dataNodes) {
        this.facts = facts;
        this.dataNodes = dataNodes;
        lease = new HeadLease(me, TAKEOVER_MS);
    }

    /**
     * Grants leases if they are due and this node is the head.
     *
     * @param view the newest view, null if unknown
     * @param quorate only then this node may act as the head
     */
    public void tick(View view, boolean quorate, long ticks, long nowMs) {
        if (lease.renew(view, quorate, nowMs) && ticks % PERIOD_TICKS == 0) {
            grant(view.epoch(), nowMs);
        }
    }

    private void grant(long epoch, long nowMs) {
        int sharers = dataNodes.sharing(nowMs);
        if (sharers == 0) {
            return;
        }
        facts.merge(List.of(new Fact(
                FactKind.LEASE,
                "",
                epoch,
                facts.nextVersion(FactKind.LEASE, "", epoch),
                Codec.encode(new Lease(epoch, sharers, TTL_MS)))));
    }
}
