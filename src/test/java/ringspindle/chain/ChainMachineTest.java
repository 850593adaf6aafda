package ringspindle.chain;

import static java.nio.charset.StandardCharsets.*;
import static org.junit.jupiter.api.Assertions.*;

import java.util.*;
import org.junit.jupiter.api.*;
import ringspindle.api.*;
import ringspindle.chain.Chain.*;
import ringspindle.wire.*;
import ringspindle.wire.Msg.*;

/** Single steps of the chain, input by input. */
class ChainMachineTest {
    private static final NodeId A = NodeId.of("10.0.0.1:7000");
    private static final NodeId B = NodeId.of("10.0.0.2:7000");
    private static final NodeId C = NodeId.of("10.0.0.3:7000");
    private static final List<NodeId> ALL = List.of(A, B, C);
    private static final Reach TOUCH = new Reach() {
        @Override
        public boolean linked(NodeId a, NodeId b) {
            return true;
        }

        @Override
        public Collection<NodeId> live() {
            return List.of(B, C);
        }
    };

    private static Call put(long id, long base, long revision) {
        return new Call(id, PUT, base, "", ("{\"revision\":" + revision + ",\"routes\":[],\"services\":[]}").getBytes(UTF_8));
    }

    private static final int PUT = Chain.PUT;

    /** Syncs everything that is to be written, and what follows from it. */
    private static List<Out> synced(Chain c, List<Out> outs) {
        List<Out> all = new ArrayList<>(outs);
        for (int i = 0; i < all.size(); i++) {
            if (all.get(i) instanceof Out.Store s) {
                all.addAll(c.stored(s.token(), 10));
            }
        }
        return all;
    }

    private static List<Outcome> answers(List<Out> outs) {
        return outs.stream().filter(o -> o instanceof Out.Answer).map(o -> ((Out.Answer) o).outcome()).toList();
    }

    private static List<Msg> sent(List<Out> outs, Class<?> type) {
        return outs.stream().filter(o -> o instanceof Out.Send).map(o -> ((Out.Send) o).m()).filter(type::isInstance).toList();
    }

    /** A head whose followers have synced the first image. */
    private static Chain head() {
        Chain a = Chain.create(A, ALL, true, List.of(), 1, 1);
        List<Out> outs = synced(a, a.beat(0, TOUCH));
        assertEquals(1, sent(outs, Install.class).size());
        a.on(B, new Synced(1, 0), 20);
        assertTrue(a.current(20));
        return a;
    }

    @Test
    void orderIsAnsweredOnlyWhenTheWholeChainSyncedIt() {
        Chain a = head();
        List<Out> outs = a.call(put(1, 0, 3), 30);
        assertEquals(List.of(), sent(outs, Entry.class), "passed on before it is synced here");
        outs = synced(a, outs);
        assertEquals(1, sent(outs, Entry.class).size());
        assertEquals(List.of(), answers(outs));
        assertEquals(List.of(Outcome.TAKEN), answers(a.on(B, new Synced(1, 1), 40)));
        assertEquals(3, a.committed().revision());
    }

    @Test
    void refusalWaitsForWhatItWasDecidedOn() {
        Chain a = head();
        synced(a, a.call(put(1, 0, 3), 30));
        List<Out> refused = synced(a, a.call(put(2, 0, 5), 31));
        assertEquals(List.of(), answers(refused), "final though the winner may yet be lost");
        assertEquals(List.of(Outcome.TAKEN, Outcome.OTHER_VERSION), answers(a.on(B, new Synced(1, 1), 40)));
    }

    @Test
    void orderSentAgainIsKnownByItsDigest() {
        Chain a = head();
        synced(a, a.call(put(1, 0, 3), 30));
        a.on(B, new Synced(1, 1), 40);
        synced(a, a.call(put(2, 3, 7), 50));
        a.on(B, new Synced(1, 2), 60);
        assertEquals(List.of(Outcome.TAKEN), answers(a.call(put(3, 0, 3), 70)), "the very one that was taken");
        assertEquals(List.of(Outcome.OTHER_VERSION), answers(a.call(put(4, 0, 9), 70)));
        assertEquals(List.of(Outcome.INVALID), answers(a.call(put(5, 7, 7), 70)), "a revision that does not rise");
        assertEquals(7, a.committed().revision());
    }

    @Test
    void fencedVoterRefusesTheOldEpochAndAnOlderBallot() {
        Chain b = Chain.create(B, ALL, true, List.of(), 1, 1);
        synced(b, b.beat(0, TOUCH));
        View one = b.view();
        synced(b, b.on(A, new Install(1, 0, Codec.encode(new State(1, 0, 0, List.of(), List.of(), new byte[0]))), 5));
        List<Out> outs = synced(b, b.on(C, new Prepare(2, 2049, one), 10));
        Pledge p = (Pledge) sent(outs, Pledge.class).get(0);
        assertTrue(p.granted());
        byte[] op = Codec.encode(new Op(Chain.EVACUATE, 0, 0, 0, "z", new byte[0]));
        assertEquals(List.of(), b.on(A, new Entry(1, 1, op), 20), "an entry of the old epoch is taken after the pledge");
        assertFalse(((Pledge) sent(synced(b, b.on(A, new Prepare(2, 1025, one), 30)), Pledge.class).get(0)).granted());
        assertFalse(((Pledge) sent(synced(b, b.on(C, new Prepare(2, 2049, one), 30)), Pledge.class).get(0)).granted(),
                "a ballot is granted twice");
        assertFalse(((Accepted) sent(synced(b, b.on(A, new Accept(2, 1025, one), 40)), Accepted.class).get(0)).granted());
    }

    @Test
    void pledgeIsToldOnlyOnceItIsSynced() {
        Chain b = Chain.create(B, ALL, true, List.of(), 1, 1);
        synced(b, b.beat(0, TOUCH));
        List<Out> outs = b.on(C, new Prepare(2, 2049, b.view()), 10);
        assertEquals(List.of(), sent(outs, Pledge.class));
        assertEquals(1, sent(synced(b, outs), Pledge.class).size());
    }

    @Test
    void wipedNodeSaysNothingBeforeAMajorityToldIt() {
        Chain c = Chain.create(C, ALL, false, List.of(), 1, 1);
        View one = new View(1, ALL, ALL);
        assertEquals(2, sent(c.beat(0, TOUCH), Relearn.class).size());
        assertEquals(List.of(), sent(synced(c, c.on(A, new Prepare(2, 1025, one), 5)), Pledge.class));
        synced(c, c.on(A, new Relearned(1, 2, 3073, 0, null, one), 10));
        assertEquals(List.of(), sent(synced(c, c.on(A, new Prepare(2, 4097, one), 15)), Pledge.class), "one is no majority");
        synced(c, c.on(B, new Relearned(2, 0, 0, 0, null, one), 20));
        Pledge p = (Pledge) sent(synced(c, c.on(A, new Prepare(2, 2049, one), 25)), Pledge.class).get(0);
        assertFalse(p.granted(), "a pledge made before the disk was lost is broken");
        Pledge q = (Pledge) sent(synced(c, c.on(A, new Prepare(2, 4097, one), 30)), Pledge.class).get(0);
        assertTrue(q.granted());
        assertEquals(-1, q.lineage(), "it claims a state that it lost");
    }

    @Test
    void restartedNodeGoesOnFromItsDiskWhateverBootstrapSays() {
        Chain a = Chain.create(A, List.of(A), true, List.of(), 1, 1);
        synced(a, a.beat(0, TOUCH));
        assertEquals(List.of(Outcome.TAKEN), answers(synced(a, a.call(put(1, 0, 3), 30))));
        Chain again = Chain.create(A, List.of(A), true, a.durable(), 2, 1);
        synced(again, again.beat(0, TOUCH));
        assertEquals(3, again.committed().revision());
        assertEquals(List.of(Outcome.OTHER_VERSION), answers(again.call(put(2, 0, 5), 40)));
    }
}
