package ringspindle.controlplane.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import ringspindle.controlplane.ControlNodeSettings;
import ringspindle.membership.DataNodeFact;
import ringspindle.membership.SessionTable;
import ringspindle.protocol.Codec;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.Message.Lease;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;

/** A new head grants no leases before those of the previous head have expired. */
class QuotaLeaseIssuerTest {
    private static final NodeId SELF = NodeId.of("10.0.0.1:7000");
    private static final NodeId OTHER = NodeId.of("10.0.0.2:7000");
    private static final int TICK_MS = 100;
    private static final long START_MS = 1_000_000;

    private FleetFacts facts;
    private QuotaLeaseIssuer issuer;
    private long nowMs = START_MS;
    private long ticks;

    @BeforeEach
    void create() {
        facts = new FleetFacts(ControlNodeSettings.create(), () -> nowMs);
        issuer =
                new QuotaLeaseIssuer(SELF, facts, new DataNodeDirectory(SELF, SessionTable.forControl(SELF, 0), facts));
        NodeId node = NodeId.of("10.1.0.1:7000");
        Hello hello = new Hello(node, 1, NodeKind.DATA, node.bits(), "d", "za", "a");
        facts.merge(List.of(new Fact(
                FactKind.NODE, node.toString(), 1, 1, new DataNodeFact(NodeFlags.READY, OTHER, hello).value())));
    }

    private static View view(long epoch, NodeId head) {
        return new View(epoch, List.of(SELF, OTHER), List.of(head));
    }

    private void run(View view, boolean quorate, int forMs) {
        for (long endMs = nowMs + forMs; nowMs < endMs; nowMs += TICK_MS) {
            issuer.tick(view, quorate, ++ticks, nowMs);
        }
    }

    /** The epoch under which the newest lease was granted, 0 if there is none. */
    private long grantedEpoch() {
        Fact lease = facts.store().get(FactKind.LEASE, "");
        return lease == null ? 0 : ((Lease) Codec.decode(lease.value())).epoch();
    }

    @Test
    void firstHeadEverGrantsImmediately() {
        run(view(1, SELF), false, 1000);
        run(view(1, SELF), true, 1500);
        assertEquals(1, grantedEpoch());
    }

    /** After a restart of the whole control plane, the head knows its view before it has a quorum. */
    @Test
    void headThatGetsItsQuorumLaterStillWaits() {
        run(view(5, SELF), false, 1000);
        run(view(5, SELF), true, 3000);
        assertEquals(0, grantedEpoch(), "leases of the previous head may still be valid");
        run(view(5, SELF), true, 2000);
        assertEquals(5, grantedEpoch());
    }

    @Test
    void headThatMissedTheViewsOfOthersWaits() {
        run(view(1, SELF), true, 1500);
        run(view(4, SELF), true, 3000);
        assertEquals(1, grantedEpoch());
        run(view(4, SELF), true, 2000);
        assertEquals(4, grantedEpoch());
    }

    @Test
    void headThatSucceedsItselfContinues() {
        run(view(1, SELF), true, 1500);
        run(view(1, SELF), false, 1500);
        run(view(2, SELF), true, 1500);
        assertEquals(2, grantedEpoch());
    }

    @Test
    void nodeThatIsNotTheHeadGrantsNothing() {
        run(view(1, OTHER), true, 9000);
        assertEquals(0, grantedEpoch());
    }
}
