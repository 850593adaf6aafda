package ringspindle.meet;

import static org.junit.jupiter.api.Assertions.*;

import java.util.*;
import org.junit.jupiter.api.*;
import ringspindle.wire.*;
import ringspindle.wire.Msg.*;

/** In touch means that both sides heard each other. */
class MeetTest {
    private static final NodeId A = NodeId.of("10.0.0.1:7000");
    private static final NodeId B = NodeId.of("10.0.0.2:7000");
    private static final NodeId C = NodeId.of("10.0.0.3:7000");

    private static Hello hello(NodeId n) {
        return new Hello(n, 1, 0, 0, n.toString(), "z", "r");
    }

    @Test
    void oneWayCutsEndTheTouchOnBothSides() {
        Meet a = Meet.create(A, 900);
        Meet b = Meet.create(B, 900);
        a.opened(hello(B), 0);
        b.opened(hello(A), 0);
        List<NodeId> cutByA = new ArrayList<>();
        for (long nowMs = 0; nowMs < 6000; nowMs += 100) {
            boolean cut = nowMs >= 2000;
            Heartbeat fromA = a.heartbeat(B, 0, 0, 0, 0);
            Heartbeat fromB = b.heartbeat(A, 0, 0, 0, 0);
            if (!cut) {
                b.heard(A, fromA, nowMs);
            }
            // the other way goes on
            a.heard(B, fromB, nowMs);
            cutByA.addAll(a.beat(nowMs));
            b.beat(nowMs);
            if (nowMs == 1000) {
                assertTrue(a.linked(A, B) && b.linked(A, B));
            }
            if (nowMs == 3500) {
                assertFalse(a.linked(A, B), "it hears, but is not heard");
                assertFalse(b.linked(A, B));
            }
        }
        assertTrue(cutByA.contains(B), "a wire that carries one way only is kept");
    }

    @Test
    void othersLinksAreKnownFromTheirBeats() {
        Meet a = Meet.create(A, 900);
        a.opened(hello(B), 0);
        a.opened(hello(C), 0);
        Heartbeat p = a.heartbeat(B, 0, 0, 0, 0);
        Heartbeat q = a.heartbeat(C, 0, 0, 0, 0);
        a.heard(B, new Heartbeat(1, p.n(), 0, 0, 0, 0, List.of(A, C)), 100);
        a.heard(C, new Heartbeat(1, q.n(), 0, 0, 0, 0, List.of(A)), 100);
        assertFalse(a.linked(B, C), "one of them does not hear the other");
        a.heard(C, new Heartbeat(2, q.n(), 0, 0, 0, 0, List.of(A, B)), 200);
        assertTrue(a.linked(B, C));
    }

    @Test
    void afterAFreezeNobodyIsJudgedByWhatWasMissed() {
        Meet a = Meet.create(A, 900);
        a.opened(hello(B), 0);
        Heartbeat p = a.heartbeat(B, 0, 0, 0, 0);
        a.heard(B, new Heartbeat(1, p.n(), 0, 0, 0, 0, List.of()), 50);
        a.beat(100);
        assertEquals(List.of(), a.beat(20_000));
        assertTrue(a.linked(A, B));
        assertEquals(List.of(B), a.beat(20_000 + 400) .isEmpty() ? late(a) : List.of(B));
    }

    /** Beats go on without a word from the other side until its wire is cut. */
    private static List<NodeId> late(Meet a) {
        for (long nowMs = 20_500; nowMs < 30_000; nowMs += 100) {
            List<NodeId> cut = a.beat(nowMs);
            if (!cut.isEmpty()) {
                return cut;
            }
        }
        return List.of();
    }
}
