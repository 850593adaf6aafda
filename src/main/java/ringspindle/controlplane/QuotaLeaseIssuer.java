package ringspindle.controlplane;

import java.util.List;
import ringspindle.protocol.Codec;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.Lease;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/** The duty of granting every data node its share of the budgets. Guarded by its owner. */
final class QuotaLeaseIssuer {
    private static final int TTL_MS = 3000;
    /** What another holder granted has run out so long after this node took the duty over. */
    private static final int TAKEOVER_MS = TTL_MS + 500;

    private static final int EVERY_TICKS = 10;

    private final NodeId me;
    private final FleetFacts facts;
    private final DataNodeDirectory dataNodes;
    private NodeId lastHead;
    private long grantFromMs;

    QuotaLeaseIssuer(NodeId me, FleetFacts facts, DataNodeDirectory dataNodes) {
        this.me = me;
        this.facts = facts;
        this.dataNodes = dataNodes;
    }

    /** The head of the view holds the duty while it is quorate. */
    void tick(View view, boolean quorate, long ticks, long nowMs) {
        if (view == null || !quorate || !view.head().equals(me)) {
            lastHead = view == null ? lastHead : view.head();
            return;
        }
        if (!me.equals(lastHead)) {
            // at the very first start there was no other holder
            grantFromMs = lastHead == null && view.epoch() == 1 ? nowMs : nowMs + TAKEOVER_MS;
            lastHead = me;
        }
        if (nowMs < grantFromMs || ticks % EVERY_TICKS != 0) {
            return;
        }
        int nodes = dataNodes.sharing(nowMs);
        if (nodes > 0) {
            facts.merge(List.of(new Fact(
                    FactKind.LEASE,
                    "",
                    view.epoch(),
                    facts.nextVersion(FactKind.LEASE, "", view.epoch()),
                    Codec.encode(new Lease(view.epoch(), nodes, TTL_MS)))));
        }
    }
}
