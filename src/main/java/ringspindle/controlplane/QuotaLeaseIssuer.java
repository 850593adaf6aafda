package ringspindle.controlplane;

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
final class QuotaLeaseIssuer {
    private static final int TTL_MS = 3000;
    /** What another head granted has run out so long after this node took the role over. */
    private static final int TAKEOVER_MS = TTL_MS + 500;

    private static final int PERIOD_TICKS = 10;

    private final NodeId me;
    private final FleetFacts facts;
    private final DataNodeDirectory dataNodes;
    /** The head as of the last tick that knew one, null before the first. */
    private NodeId lastHead;

    private long grantFromMs;

    QuotaLeaseIssuer(NodeId me, FleetFacts facts, DataNodeDirectory dataNodes) {
        this.me = me;
        this.facts = facts;
        this.dataNodes = dataNodes;
    }

    /**
     * Grants leases if they are due and this node is the head.
     *
     * @param view the newest view, null if unknown
     * @param quorate only then this node may act as the head
     */
    void tick(View view, boolean quorate, long ticks, long nowMs) {
        if (view == null) {
            return;
        }
        if (!quorate || !view.head().equals(me)) {
            lastHead = view.head();
            return;
        }
        if (!me.equals(lastHead)) {
            boolean firstHeadEver = lastHead == null && view.epoch() == 1;
            grantFromMs = firstHeadEver ? nowMs : nowMs + TAKEOVER_MS;
            lastHead = me;
        }
        if (nowMs >= grantFromMs && ticks % PERIOD_TICKS == 0) {
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
