package ringspindle.counter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import ringspindle.api.Outcome;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.CounterAdds;
import ringspindle.protocol.Message.CounterSnapshot;
import ringspindle.protocol.NodeId;

/** Single steps of one or two replicas: when a call is answered, what is forgotten, and what a disk gives back. */
class CounterReplicaTest {
    private static final NodeId A = NodeId.of("10.0.0.1:7000");
    private static final NodeId B = NodeId.of("10.0.0.2:7000");
    private static final long RETENTION_MS = 10_000;

    private long nowMs;
    private long stores;

    /** A replica with a disk that syncs at once, unless it is stalled. */
    private final class Node {
        final NodeId id;
        final List<Message> disk = new ArrayList<>();
        final List<CounterReplica.Out.Store> stalled = new ArrayList<>();
        final List<CounterReplica.Out> answers = new ArrayList<>();
        final List<CounterReplica.Out.Send> sent = new ArrayList<>();
        CounterReplica replica;
        boolean stalls;

        Node(NodeId id, int copies, boolean bootstrap, List<Message> found) {
            this.id = id;
            disk.addAll(found);
            CounterSettings settings = new CounterSettings(copies, bootstrap, RETENTION_MS, 100, 3);
            replica = new CounterReplica(id, settings, found, ++stores, nowMs);
            carryOut(replica.open(nowMs));
        }

        void carryOut(List<CounterReplica.Out> outputs) {
            for (CounterReplica.Out output : outputs) {
                if (output instanceof CounterReplica.Out.Send send) {
                    sent.add(send);
                } else if (output instanceof CounterReplica.Out.Answer answer) {
                    answers.add(answer);
                } else if (output instanceof CounterReplica.Out.Store store) {
                    if (stalls) {
                        stalled.add(store);
                    } else {
                        write(store);
                    }
                }
            }
        }

        void write(CounterReplica.Out.Store store) {
            if (store.snapshot()) {
                disk.clear();
            }
            disk.addAll(store.records());
            carryOut(replica.stored(store.token(), nowMs));
        }

        Outcome add(long call, String counter, String id, long amount) {
            answers.clear();
            carryOut(replica.add(call, counter, id, amount, nowMs));
            return outcome();
        }

        Outcome outcome() {
            return answers.isEmpty() ? null : ((CounterReplica.Out.Answer) answers.get(0)).outcome();
        }

        long total(String counter) {
            return replica.total(counter).map(BigInteger::longValueExact).orElse(-1L);
        }

        void tick(Set<NodeId> linked) {
            carryOut(replica.tick(linked, new TreeSet<>(List.of(A, B)), nowMs));
        }
    }

    private void connect(Node one, Node other) {
        one.replica.connected(other.id);
        other.replica.connected(one.id);
        one.carryOut(one.replica.introduced(other.id, nowMs));
        other.carryOut(other.replica.introduced(one.id, nowMs));
        exchange(one, other);
    }

    private void exchange(Node one, Node other) {
        while (!one.sent.isEmpty() || !other.sent.isEmpty()) {
            deliver(one, other);
            deliver(other, one);
        }
    }

    private void deliver(Node from, Node to) {
        List<CounterReplica.Out.Send> messages = List.copyOf(from.sent);
        from.sent.clear();
        messages.forEach(send -> to.carryOut(to.replica.receive(from.id, send.message(), nowMs)));
    }

    private void run(Node one, Node other, long forMs) {
        for (long endMs = nowMs + forMs; nowMs < endMs; nowMs += 100) {
            one.tick(Set.of(other.id));
            other.tick(Set.of(one.id));
            exchange(one, other);
        }
    }

    @Test
    void confirmedOnlyOnceAnotherDiskHoldsIt() {
        Node a = new Node(A, 2, true, List.of());
        Node b = new Node(B, 2, true, List.of());
        connect(a, b);
        b.stalls = true;
        assertEquals(null, a.add(1, "t", "i", 4));
        exchange(a, b);
        assertEquals(null, a.outcome());
        b.stalls = false;
        b.stalled.forEach(b::write);
        exchange(a, b);
        assertEquals(Outcome.TAKEN, a.outcome());
        assertEquals(4, b.total("t"));
    }

    /** A node of an earlier version does not say that it takes these messages, and would close the connection over one. */
    @Test
    void nothingIsSentToAPeerThatDoesNotTakeTheseMessages() {
        Node a = new Node(A, 1, true, List.of());
        a.replica.connected(B);
        assertEquals(Outcome.TAKEN, a.add(1, "t", "i", 4));
        a.add(2, "t", "i", 4);
        for (int i = 0; i < 50; i++) {
            nowMs += 100;
            a.tick(Set.of(B));
        }
        assertEquals(List.of(), a.sent);
    }

    @Test
    void aStalledDiskRefusesWhatIsNewAndLeavesTheRestUnconfirmed() {
        Node a = new Node(A, 1, true, List.of());
        a.stalls = true;
        assertEquals(null, a.add(1, "t", "i", 4));
        nowMs += 500;
        assertEquals(Outcome.UNCLEAR, a.add(2, "t", "j", 4));
        nowMs += 500;
        a.tick(Set.of());
        assertEquals(Outcome.UNCONFIRMED, ((CounterReplica.Out.Answer) a.answers.get(1)).outcome());
        assertEquals(0, a.total("t"));
        a.stalls = false;
        a.stalled.forEach(a::write);
        assertEquals(4, a.total("t"));
        assertEquals(Outcome.TAKEN, a.add(3, "t", "i", 4));
        assertEquals(4, a.total("t"));
    }

    @Test
    void cutOffItWaitsUntilThatIsCertainAndThenCountsAlone() {
        Node a = new Node(A, 2, true, List.of());
        Node b = new Node(B, 2, true, List.of());
        connect(a, b);
        run(a, b, 5000);
        assertEquals(null, a.add(1, "t", "i", 4));
        nowMs += 100;
        a.tick(Set.of());
        assertEquals(null, a.outcome());
        for (int i = 0; i < 3; i++) {
            nowMs += 100;
            a.tick(Set.of());
        }
        assertEquals(Outcome.TAKEN, a.outcome());
        assertTrue(a.replica.status(nowMs).isolated());
        assertEquals(1, a.replica.status(nowMs).notEverywhere());
        connect(a, b);
        run(a, b, 500);
        assertEquals(4, b.total("t"));
        assertEquals(0, a.replica.status(nowMs).notEverywhere());
    }

    @Test
    void afterAPauseItDoesNotTakeItselfForCutOff() {
        Node a = new Node(A, 2, true, List.of());
        Node b = new Node(B, 2, true, List.of());
        connect(a, b);
        run(a, b, 5000);
        nowMs += 20_000;
        assertEquals(null, a.add(1, "t", "i", 4));
        for (int i = 0; i < 8; i++) {
            nowMs += 100;
            a.tick(Set.of());
        }
        assertEquals(null, a.outcome());
    }

    @Test
    void amountsOfOneIdThatDifferCountTheLesserOnBothSides() {
        Node a = new Node(A, 1, true, List.of());
        Node b = new Node(B, 1, true, List.of());
        assertEquals(Outcome.TAKEN, a.add(1, "t", "i", 4));
        assertEquals(Outcome.TAKEN, b.add(1, "t", "i", 7));
        connect(a, b);
        run(a, b, 500);
        assertEquals(4, a.total("t"));
        assertEquals(4, b.total("t"));
        assertEquals(Outcome.CLASH, b.add(2, "t", "i", 7));
    }

    @Test
    void bothBoundsRefuseWhatIsNewAndNothingElse() {
        Node a = new Node(A, 1, true, List.of());
        for (int i = 0; i < 100; i++) {
            assertEquals(Outcome.TAKEN, a.add(i, "t" + i % 3, "i" + i, 1));
        }
        assertEquals(Outcome.STORE_FULL, a.add(200, "t0", "new", 1));
        assertEquals(Outcome.TAKEN, a.add(201, "t0", "i0", 1));
        Node b = new Node(B, 1, true, List.of());
        for (int i = 0; i < 3; i++) {
            b.add(i, "t" + i, "i", 1);
        }
        assertEquals(Outcome.STORE_FULL, b.add(9, "t3", "i", 1));
        assertEquals(Outcome.TAKEN, b.add(9, "t0", "j", 1));
    }

    /** Forgotten ids are part of totals: on disk, for a new node, and for one that has counted alone meanwhile. */
    @Test
    void forgottenIdsStayInTotals() {
        Node a = new Node(A, 1, true, List.of());
        Node b = new Node(B, 1, true, List.of());
        connect(a, b);
        for (int i = 0; i < 60; i++) {
            (i % 2 == 0 ? a : b).add(i, "t", "i" + i, 1);
        }
        run(a, b, 3 * RETENTION_MS);
        assertEquals(0, a.replica.status(nowMs).instances());
        assertEquals(60, a.total("t"));
        b.add(100, "t", "late", 5);
        run(a, b, 500);
        Node reread = new Node(A, 1, false, List.copyOf(a.disk));
        reread.carryOut(reread.replica.tick(Set.of(), Set.of(), nowMs + 4000));
        assertEquals(65, reread.total("t"));

        Node fresh = new Node(B, 1, true, List.of());
        fresh.add(101, "t", "alone", 7);
        connect(a, fresh);
        run(a, fresh, 1000);
        assertEquals(72, fresh.total("t"));
        assertEquals(72, a.total("t"));
    }

    @Test
    void aSnapshotHoldsWhatIsStillOnItsWayToTheDisk() {
        Node a = new Node(A, 1, true, List.of());
        a.add(1, "t", "i", 4);
        a.stalls = true;
        a.add(2, "t", "j", 5);
        List<Message> snapshot = a.replica.durable();
        assertTrue(snapshot.get(0) instanceof CounterSnapshot && snapshot.get(1) instanceof CounterAdds);
        Node reread = new Node(A, 1, false, snapshot);
        reread.carryOut(reread.replica.tick(Set.of(), Set.of(), nowMs + 4000));
        assertEquals(9, reread.total("t"));
    }

    @Test
    void aNodeWithoutDataTellsNothingUntilItHasMetOneThatHasSome() {
        Node a = new Node(A, 2, true, List.of());
        Node b = new Node(B, 2, false, List.of());
        b.carryOut(b.replica.tick(Set.of(), Set.of(), nowMs + 60_000));
        assertEquals(Optional.empty(), b.replica.total("t"));
        assertEquals(Outcome.UNCLEAR, b.add(1, "t", "i", 4));
        connect(a, b);
        b.tick(Set.of(A));
        assertEquals(0, b.total("t"));
    }
}
