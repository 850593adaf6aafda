package ringspindle.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import ringspindle.protocol.Message.Heartbeat;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;

/** In touch means that both sides heard each other, and contact dates from when the echoed heartbeat was sent. */
class SessionTableTest {
    private static final NodeId A = NodeId.of("10.0.0.1:7000");
    private static final NodeId B = NodeId.of("10.0.0.2:7000");
    private static final NodeId C = NodeId.of("10.0.0.3:7000");
    private static final int CONTROL = 0;
    private static final int DATA = 1;

    private static Hello hello(NodeId n) {
        return hello(n, CONTROL);
    }

    private static Hello hello(NodeId n, int kind) {
        return new Hello(n, 1, kind, 0, n.toString(), "z", "r");
    }

    private static Heartbeat sent(SessionTable from, NodeId to, long nowMs) {
        return from.nextHeartbeat(to, NodeFlags.NONE, 0, 0, 0, nowMs);
    }

    /** What a peer says after it heard a heartbeat. */
    private static Heartbeat echo(long n, Heartbeat heard, NodeId... others) {
        return new Heartbeat(n, heard.n(), NodeFlags.NONE, 0, 0, 0, List.of(others));
    }

    /** Two nodes in virtual time: heartbeats at a pace, a delay each way, cuts that hold up or lose what is sent. */
    private static final class Pair {
        private record OnItsWay(long atMs, boolean toA, Heartbeat heartbeat) {}

        final SessionTable a;
        final SessionTable b;
        final List<NodeId> dropped = new ArrayList<>();
        private final int everyMs;
        private final int delayMs;
        private final int phaseMs;
        private final List<OnItsWay> way = new ArrayList<>();
        /** While this runs, what is sent to that side arrives at its end. */
        private long heldFromMs = Long.MAX_VALUE;

        private long heldToMs = Long.MAX_VALUE;
        private boolean heldToA;
        private boolean heldToB;
        private long stallFromMs = Long.MAX_VALUE;
        private long stallToMs = Long.MAX_VALUE;
        long nowMs;
        long oldestMs;

        Pair(int kindOfB, int everyMs, int delayMs, int phaseMs) {
            a = SessionTable.forControl(A, 0);
            b = kindOfB == DATA ? SessionTable.forData(B, 0) : SessionTable.forControl(B, 0);
            this.everyMs = everyMs;
            this.delayMs = delayMs;
            this.phaseMs = phaseMs;
            a.opened(hello(B, kindOfB), 0);
            b.opened(hello(A), 0);
        }

        Pair hold(boolean toA, boolean toB, long fromMs, long toMs) {
            heldToA = toA;
            heldToB = toB;
            heldFromMs = fromMs;
            heldToMs = toMs;
            return this;
        }

        Pair stallA(long fromMs, long toMs) {
            stallFromMs = fromMs;
            stallToMs = toMs;
            return this;
        }

        private boolean stalled() {
            return nowMs >= stallFromMs && nowMs < stallToMs;
        }

        private void send(boolean toA, Heartbeat heartbeat) {
            boolean held = (toA ? heldToA : heldToB) && nowMs >= heldFromMs && nowMs < heldToMs;
            way.add(new OnItsWay(held ? heldToMs + delayMs : nowMs + delayMs, toA, heartbeat));
        }

        private void deliver() {
            List<OnItsWay> due = new ArrayList<>(way);
            due.removeIf(w -> w.atMs() > nowMs || w.toA() && stalled());
            way.removeAll(due);
            for (OnItsWay w : due) {
                (w.toA() ? a : b).received(w.toA() ? B : A, w.heartbeat(), nowMs);
            }
        }

        /** Goes on by ten milliseconds; heartbeats leave on ticks, every so many of them. */
        void step() {
            deliver();
            if (!stalled() && nowMs % 100 == 0) {
                a.peersToDrop(nowMs).forEach(n -> dropped.add(n));
                if (nowMs % everyMs == 0) {
                    send(false, sent(a, B, nowMs));
                }
            }
            if (nowMs % 100 == phaseMs % 100) {
                b.peersToDrop(nowMs).forEach(n -> dropped.add(n));
                if (nowMs % everyMs == phaseMs) {
                    send(true, sent(b, A, nowMs));
                }
            }
            if (nowMs > 2000) {
                oldestMs = Math.max(
                        oldestMs,
                        Math.max(
                                nowMs - a.peer(B).contactMs(), nowMs - b.peer(A).contactMs()));
            }
            nowMs += 10;
        }

        boolean linkedAtA() {
            return a.linked(A, B);
        }

        boolean linkedAtB() {
            return b.linked(A, B);
        }
    }

    @ParameterizedTest
    @CsvSource({"0,200,500", "1,400,900"})
    void inCalmTheContactIsYoungAtEveryPhase(int kind, int everyMs, int boundMs) {
        for (int phaseMs = 0; phaseMs < everyMs; phaseMs += 10) {
            Pair p = new Pair(kind, everyMs, 40, phaseMs);
            while (p.nowMs < 20_000) {
                p.step();
                assertTrue(p.nowMs < 2000 || p.linkedAtA() && p.linkedAtB());
            }
            assertTrue(p.oldestMs <= boundMs, "phase " + phaseMs + ": " + p.oldestMs);
            assertEquals(List.of(), p.dropped);
        }
    }

    @ParameterizedTest
    @CsvSource({"0,200", "1,400"})
    void aShortStallOfThisNodeLosesNoLink(int kind, int everyMs) {
        for (int phaseMs = 0; phaseMs < everyMs; phaseMs += 10) {
            Pair p = new Pair(kind, everyMs, 40, phaseMs).stallA(5000, 5480);
            while (p.nowMs < 9000) {
                p.step();
                assertTrue(p.nowMs < 2000 || p.linkedAtA() && p.linkedAtB(), "phase " + phaseMs + " at " + p.nowMs);
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"true", "false"})
    void oneWayCutsEndTheTouchOnBothSides(boolean toA) {
        Pair p = new Pair(CONTROL, 200, 40, 130).hold(toA, !toA, 4000, 60_000);
        long bothUntilMs = 0;
        long oneUntilMs = 0;
        while (p.nowMs < 12_000) {
            p.step();
            bothUntilMs = p.linkedAtA() && p.linkedAtB() ? p.nowMs : bothUntilMs;
            oneUntilMs = p.linkedAtA() || p.linkedAtB() ? p.nowMs : oneUntilMs;
        }
        assertTrue(bothUntilMs >= 4000, "in touch before the cut");
        assertTrue(
                oneUntilMs <= 4000 + HeartbeatSessionTable.CONTROL_CONTACT_MS + 2 * 40,
                "nobody is in touch for long after it: " + oneUntilMs);
        assertTrue(
                oneUntilMs - bothUntilMs <= 500,
                "linked in one direction only: from " + bothUntilMs + " to " + oneUntilMs);
        assertTrue(
                p.dropped.contains(toA ? B : A) && p.dropped.contains(toA ? A : B),
                "a connection that carries one way only is kept");
    }

    @ParameterizedTest
    @ValueSource(longs = {9_000, 24_000})
    void heartbeatsHeldUpByACutProveNothing(long healedMs) {
        Pair p = new Pair(CONTROL, 200, 40, 130).hold(true, true, 4000, healedMs);
        while (p.nowMs <= healedMs + 80) {
            p.step();
            assertFalse(p.nowMs > 5200 && (p.linkedAtA() || p.linkedAtB()), "at " + p.nowMs);
        }
        while (p.nowMs < healedMs + 600) {
            p.step();
            assertTrue(
                    !p.linkedAtA() || p.a.peer(B).contactMs() >= healedMs,
                    "contact rests on a heartbeat sent after the cut");
            assertTrue(
                    !p.linkedAtB() || p.b.peer(A).contactMs() >= healedMs,
                    "contact rests on a heartbeat sent after the cut");
        }
        assertTrue(p.linkedAtA() && p.linkedAtB());
    }

    @Test
    void afterAFreezeNobodyIsInTouchBeforeAnEchoOfAHeartbeatSentSince() {
        SessionTable a = SessionTable.forControl(A, 0);
        a.opened(hello(B), 0);
        Heartbeat before = sent(a, B, 0);
        a.received(B, echo(1, before), 50);
        a.peersToDrop(100);
        assertTrue(a.linked(A, B));
        Heartbeat unanswered = sent(a, B, 200);

        long wokeMs = 20_200;
        a.received(B, echo(2, unanswered), wokeMs);
        assertFalse(a.linked(A, B), "what waited in the socket is old");
        assertEquals(List.of(), a.peersToDrop(wokeMs), "no connection is dropped for what was missed");
        assertFalse(a.linked(A, B), "after a freeze nothing is known");
        Heartbeat after = sent(a, B, wokeMs + 10);
        assertEquals(List.of(), after.heard(), "nor is it told to others");
        a.received(B, echo(3, unanswered), wokeMs + 20);
        assertFalse(a.linked(A, B));
        a.received(B, echo(4, after), wokeMs + 60);
        assertTrue(a.linked(A, B));
    }

    @Test
    void afterAFreezeASilentPeerIsDroppedInTheEnd() {
        SessionTable a = SessionTable.forControl(A, 0);
        a.opened(hello(B), 0);
        a.received(B, echo(1, sent(a, B, 0)), 50);
        a.peersToDrop(100);
        List<NodeId> dropped = new ArrayList<>();
        long nowMs = 20_000;
        while (dropped.isEmpty() && nowMs < 30_000) {
            dropped.addAll(a.peersToDrop(nowMs));
            nowMs += 100;
        }
        assertEquals(List.of(B), dropped);
        assertTrue(nowMs > 21_500 && nowMs <= 22_200, "dropped at " + nowMs);
    }

    @Test
    void aConnectionThatCarriesOnlyOldEchoesIsDropped() {
        SessionTable a = SessionTable.forControl(A, 0);
        a.opened(hello(B), 0);
        Heartbeat first = sent(a, B, 0);
        long n = 1;
        List<NodeId> dropped = new ArrayList<>();
        for (long nowMs = 100; nowMs < 4000; nowMs += 100) {
            a.received(B, echo(n++, first), nowMs);
            dropped.addAll(a.peersToDrop(nowMs));
        }
        assertTrue(dropped.contains(B));
    }

    @Test
    void anEchoOfANumberThatWasNeverSentThereProvesNothing() {
        SessionTable a = SessionTable.forControl(A, 0);
        a.opened(hello(B), 0);
        a.opened(hello(C), 0);
        Heartbeat toC = sent(a, C, 0);
        a.received(B, echo(1, toC), 50);
        assertFalse(a.linked(A, B));
        Heartbeat toB = sent(a, B, 100);
        a.opened(hello(B), 200);
        a.received(B, echo(1, toB), 250);
        assertFalse(a.linked(A, B), "an echo over a new connection of what was sent on the old one");
        Heartbeat old = sent(a, B, 300);
        for (int i = 0; i < EchoedContact.IN_FLIGHT_MAX; i++) {
            sent(a, B, 301 + i);
        }
        a.received(B, echo(2, old), 400);
        assertFalse(a.linked(A, B), "its sending time is forgotten");
    }

    /** Guards against knowledge of keys that passes for newer than it is: an echo made for the process before was taken for proof. */
    @Test
    void anEchoMeantForTheProcessBeforeProvesNothing() {
        SessionTable before = SessionTable.forData(A, 7_000_000_007L);
        before.opened(hello(B), 0);
        Heartbeat ofBefore = sent(before, B, 0);
        SessionTable restarted = SessionTable.forData(A, 5);
        restarted.opened(hello(B), 1000);
        Heartbeat own = sent(restarted, B, 1000);
        restarted.received(B, echo(1, ofBefore), 1010);
        assertEquals(SessionTable.NEVER_MS, restarted.peer(B).contactMs());
        restarted.received(B, echo(2, own), 1020);
        assertEquals(1000, restarted.peer(B).contactMs(), "nor does it spoil the next proof");
    }

    @Test
    void aQuietDayHasNoMoreHeartbeatsThanBefore() {
        Pair p = new Pair(CONTROL, 200, 40, 130);
        while (p.nowMs < 10_000) {
            p.step();
        }
        assertEquals(51, sent(p.a, B, p.nowMs).n(), "fifty in ten seconds, and this one");
    }

    @Test
    void othersLinksAreKnownFromTheirHeartbeats() {
        SessionTable a = SessionTable.forControl(A, 0);
        a.opened(hello(B), 0);
        a.opened(hello(C), 0);
        Heartbeat p = sent(a, B, 0);
        Heartbeat q = sent(a, C, 0);
        a.received(B, echo(1, p, A, C), 100);
        a.received(C, echo(1, q, A), 100);
        assertFalse(a.linked(B, C), "one of them does not hear the other");
        Heartbeat r = sent(a, C, 150);
        a.received(C, echo(2, r, A, B), 200);
        assertTrue(a.linked(B, C));
        Heartbeat fresh = sent(a, C, 1000);
        a.received(C, echo(3, fresh, A), 1100);
        a.peersToDrop(1200);
        assertFalse(a.linked(A, B));
        assertFalse(a.linked(B, C), "the word of the one that is out of touch counts no more");
    }
}
