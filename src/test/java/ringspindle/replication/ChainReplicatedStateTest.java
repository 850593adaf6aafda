package ringspindle.replication;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.junit.jupiter.api.Test;
import ringspindle.api.Outcome;
import ringspindle.consensus.Connectivity;
import ringspindle.protocol.Codec;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Accept;
import ringspindle.protocol.Message.Accepted;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.Confirm;
import ringspindle.protocol.Message.Confirmed;
import ringspindle.protocol.Message.Decided;
import ringspindle.protocol.Message.Entry;
import ringspindle.protocol.Message.Install;
import ringspindle.protocol.Message.Op;
import ringspindle.protocol.Message.Pledge;
import ringspindle.protocol.Message.Position;
import ringspindle.protocol.Message.Prepare;
import ringspindle.protocol.Message.Relearn;
import ringspindle.protocol.Message.Relearned;
import ringspindle.protocol.Message.Reply;
import ringspindle.protocol.Message.State;
import ringspindle.protocol.Message.Synced;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;
import ringspindle.replication.ReplicatedState.Output;

/** Single steps of the chain, input by input. */
class ChainReplicatedStateTest {
    private static final NodeId A = NodeId.of("10.0.0.1:7000");
    private static final NodeId B = NodeId.of("10.0.0.2:7000");
    private static final NodeId C = NodeId.of("10.0.0.3:7000");
    private static final List<NodeId> ALL = List.of(A, B, C);
    private static final Connectivity TOUCH = new Connectivity() {
        @Override
        public boolean connected(NodeId a, NodeId b) {
            return true;
        }

        @Override
        public Collection<NodeId> liveNodes() {
            return List.of(B, C);
        }
    };

    private static Call put(long id, long base, long revision) {
        return CallKind.PUT.call(
                id, base, "", ("{\"revision\":" + revision + ",\"routes\":[],\"services\":[]}").getBytes(UTF_8));
    }

    /** Syncs everything that is to be written, and what follows from it. */
    private static List<Output> synced(ReplicatedState c, List<Output> outs) {
        List<Output> all = new ArrayList<>(outs);
        for (int i = 0; i < all.size(); i++) {
            if (all.get(i) instanceof Output.Store s) {
                all.addAll(c.recordsSynced(s.token(), 10));
            }
        }
        return all;
    }

    private static List<Outcome> answers(List<Output> outs) {
        return outs.stream()
                .filter(o -> o instanceof Output.Answer)
                .map(o -> ((Output.Answer) o).outcome())
                .toList();
    }

    private static List<Message> sent(List<Output> outs, Class<?> type) {
        return outs.stream()
                .filter(o -> o instanceof Output.Send)
                .map(o -> ((Output.Send) o).message())
                .filter(type::isInstance)
                .toList();
    }

    /** What follows once one more voter says that the view is still the newest. */
    private static List<Output> confirmed(ReplicatedState c, List<Output> outs) {
        List<Output> all = new ArrayList<>();
        for (Message m : sent(outs, Confirm.class)) {
            Confirm asked = (Confirm) m;
            all.addAll(c.receive(B, new Confirmed(asked.epoch(), asked.id(), true), 10));
        }
        return all;
    }

    /** The answers to a call that changes nothing: none before a majority has confirmed the view. */
    private static List<Outcome> answersOnceConfirmed(ReplicatedState c, Call call, long nowMs) {
        List<Output> outs = c.call(call, nowMs);
        assertEquals(List.of(), answers(outs), "answered by a head that may have been deposed");
        return answers(confirmed(c, outs));
    }

    /** A head whose followers have synced the first image. */
    private static ReplicatedState head() {
        ReplicatedState a = ReplicatedState.create(A, ALL, true, List.of(), 1, 1);
        List<Output> outs = synced(a, a.tick(0, TOUCH));
        assertEquals(1, sent(outs, Install.class).size());
        a.receive(B, new Synced(1, 0), 20);
        assertTrue(a.upToDate(20));
        return a;
    }

    @Test
    void orderIsAnsweredOnlyWhenTheWholeChainSyncedIt() {
        ReplicatedState a = head();
        List<Output> outs = a.call(put(1, 0, 3), 30);
        assertEquals(List.of(), sent(outs, Entry.class), "passed on before it is synced here");
        outs = synced(a, outs);
        assertEquals(1, sent(outs, Entry.class).size());
        assertEquals(List.of(), answers(outs));
        assertEquals(List.of(Outcome.TAKEN), answers(a.receive(B, new Synced(1, 1), 40)));
        assertEquals(3, a.committed().revision());
    }

    @Test
    void refusalWaitsForWhatItWasDecidedOn() {
        ReplicatedState a = head();
        synced(a, a.call(put(1, 0, 3), 30));
        List<Output> refused = synced(a, a.call(put(2, 0, 5), 31));
        assertEquals(List.of(), answers(refused), "final though the winner may yet be lost");
        assertEquals(List.of(), answers(confirmed(a, refused)), "final though the winner may yet be lost");
        assertEquals(List.of(Outcome.TAKEN, Outcome.OTHER_VERSION), answers(a.receive(B, new Synced(1, 1), 40)));
    }

    /** An answer is final: what was refused must not be acted on by the head of the next view. */
    @Test
    void refusedOrderIsNotPassedOnInTheNextView() {
        ReplicatedState a = head();
        synced(a, a.call(put(1, 0, 3), 30));
        a.receive(B, new Synced(1, 1), 40);
        assertEquals(List.of(Outcome.OTHER_VERSION), answersOnceConfirmed(a, put(2, 0, 9), 50));
        List<Output> next = synced(a, a.receive(B, new Decided(new View(2, ALL, List.of(B, A))), 60));
        assertEquals(List.of(), sent(next, Call.class));
    }

    @Test
    void orderSentAgainIsKnownByItsDigest() {
        ReplicatedState a = head();
        synced(a, a.call(put(1, 0, 3), 30));
        a.receive(B, new Synced(1, 1), 40);
        synced(a, a.call(put(2, 3, 7), 50));
        a.receive(B, new Synced(1, 2), 60);
        assertEquals(List.of(Outcome.TAKEN), answersOnceConfirmed(a, put(3, 0, 3), 70), "the very one that was taken");
        assertEquals(List.of(Outcome.OTHER_VERSION), answersOnceConfirmed(a, put(4, 0, 9), 70));
        assertEquals(
                List.of(Outcome.INVALID), answersOnceConfirmed(a, put(5, 7, 7), 70), "a revision that does not rise");
        assertEquals(7, a.committed().revision());
    }

    /** A head that was cut off, while the others went on without it, neither confirms nor refuses on its old state. */
    @Test
    void deposedHeadAnswersNothing() {
        ReplicatedState a = head();
        synced(a, a.call(put(1, 0, 3), 30));
        a.receive(B, new Synced(1, 1), 40);
        for (Call c : List.of(put(2, 0, 3), put(3, 0, 9), put(4, 3, 2))) {
            List<Output> outs = a.call(c, 50);
            for (Message m : sent(outs, Confirm.class)) {
                Confirm asked = (Confirm) m;
                assertEquals(List.of(), answers(a.receive(B, new Confirmed(1, asked.id(), false), 60)));
                assertEquals(
                        List.of(),
                        answers(a.receive(C, new Confirmed(1, asked.id() + 1, true), 60)),
                        "another's confirmation");
            }
        }
    }

    /** An order that was held up on its way, while its caller repeated it elsewhere and then took it back, has no effect. */
    @Test
    void orderFromBeforeANewerOneIsNotActedUpon() {
        ReplicatedState a = head();
        Call held = CallKind.EVACUATE.call(1, 0, "z", new byte[0]);
        synced(a, a.call(CallKind.EVACUATE.call(2, 0, "z", new byte[0]), 30));
        synced(a, a.call(CallKind.RESTORE.call(3, 0, "z", new byte[0]), 40));
        a.receive(B, new Synced(1, 2), 50);
        List<Output> late = a.receive(C, held, 60);
        assertEquals(List.of(), sent(synced(a, late), Entry.class));
        Reply reply = (Reply) sent(confirmed(a, late), Reply.class).get(0);
        assertEquals(Outcome.UNCLEAR.ordinal(), reply.outcome());
        assertEquals("off", a.committed().marks().get(0).value());
        synced(a, a.call(CallKind.EVACUATE.call(4, 0, "z", new byte[0]), 70));
        a.receive(B, new Synced(1, 3), 80);
        assertEquals("on", a.committed().marks().get(0).value(), "an order taken later counts");
    }

    /** A withdrawal of what was never seen taken is final: the order that it takes back may still be on its way. */
    @Test
    void withdrawalFencesTheOrderThatItTakesBack() {
        ReplicatedState a = head();
        Call held = CallKind.EVACUATE.call(1, 0, "z", new byte[0]);
        synced(a, a.call(CallKind.RESTORE.call(2, 0, "z", new byte[0]), 30));
        assertEquals(List.of(Outcome.TAKEN), answers(a.receive(B, new Synced(1, 1), 40)));
        List<Output> late = a.receive(C, held, 50);
        assertEquals(List.of(), sent(synced(a, late), Entry.class));
        Reply reply = (Reply) sent(confirmed(a, late), Reply.class).get(0);
        assertEquals(Outcome.UNCLEAR.ordinal(), reply.outcome());
    }

    /** Beyond what is kept an order sent again gets no clear answer, which is neither a confirmation nor a refusal. */
    @Test
    void orderSentAgainAfterHundredsOfChangesIsNeverRefused() {
        ReplicatedState a = head();
        int changes = CommandHistory.MAX_COMMANDS + 10;
        for (int i = 1; i <= changes; i++) {
            synced(a, a.call(put(i, i - 1, i), 100 + i));
            a.receive(B, new Synced(1, i), 100 + i);
        }
        assertEquals(changes, a.committed().revision());
        assertEquals(List.of(Outcome.UNCLEAR), answersOnceConfirmed(a, put(5000, 0, 1), 9000));
        assertEquals(
                List.of(Outcome.TAKEN), answersOnceConfirmed(a, put(5001, 300, 301), 9000), "one that is still kept");
        assertEquals(
                List.of(Outcome.OTHER_VERSION),
                answersOnceConfirmed(a, put(5002, 300, 302), 9000),
                "one that was never taken");
    }

    /** A tail that got a second snapshot before it synced the first gives no reading older than what it confirmed. */
    @Test
    void tailCommitsTheSnapshotThatItConfirms() {
        ReplicatedState c = ReplicatedState.create(C, ALL, true, List.of(), 1, 1);
        synced(c, c.tick(0, TOUCH));
        synced(
                c,
                c.receive(
                        B, new Install(1, 0, Codec.encode(new State(1, 0, 0, List.of(), List.of(), new byte[0]))), 5));
        List<Output> first = c.receive(
                B, new Install(1, 1, Codec.encode(new State(1, 1, 3, List.of(), List.of(), new byte[] {1}))), 10);
        List<Output> second = c.receive(
                B, new Install(1, 2, Codec.encode(new State(1, 2, 5, List.of(), List.of(), new byte[] {2}))), 11);
        assertEquals(List.of(new Synced(1, 1)), sent(synced(c, first), Synced.class));
        assertEquals(3, c.committed().revision(), "a reading now must hold what was confirmed up the chain");
        assertEquals(List.of(new Synced(1, 2)), sent(synced(c, second), Synced.class));
        assertEquals(5, c.committed().revision());
    }

    /** A copy that was stale when the view was decided may not lead the next one. */
    @Test
    void staleMemberOfTheChainDoesNotDecideWhatWasTaken() {
        ReplicatedState c = ReplicatedState.create(C, ALL, true, List.of(), 1, 3);
        synced(c, c.tick(0, TOUCH));
        View two = new View(2, ALL, List.of(A, C), new Position(1, 5));
        synced(c, c.receive(A, new Decided(two), 5));
        Connectivity withB = new Connectivity() {
            @Override
            public boolean connected(NodeId a, NodeId b) {
                return !a.equals(A) && !b.equals(A);
            }

            @Override
            public Collection<NodeId> liveNodes() {
                return List.of(B);
            }
        };
        List<Message> accepts = new ArrayList<>();
        for (long nowMs = 100; nowMs < 4000; nowMs += 100) {
            List<Output> outs = synced(c, c.tick(nowMs, withB));
            for (Message m : sent(outs, Prepare.class)) {
                Prepare p = (Prepare) m;
                // B, too, holds less than the base of the view: both of them together may lack what A acknowledged
                Pledge pledge = new Pledge(p.epoch(), p.ballot(), true, p.ballot(), 0, 1, 4, null, two);
                accepts.addAll(sent(synced(c, c.receive(B, pledge, nowMs)), Accept.class));
            }
        }
        assertEquals(List.of(), accepts);
    }

    @Test
    void fencedVoterRefusesTheOldEpochAndAnOlderBallot() {
        ReplicatedState b = ReplicatedState.create(B, ALL, true, List.of(), 1, 1);
        synced(b, b.tick(0, TOUCH));
        View one = b.view();
        synced(
                b,
                b.receive(
                        A, new Install(1, 0, Codec.encode(new State(1, 0, 0, List.of(), List.of(), new byte[0]))), 5));
        List<Output> outs = synced(b, b.receive(C, new Prepare(2, 2049, one), 10));
        Pledge p = (Pledge) sent(outs, Pledge.class).get(0);
        assertTrue(p.granted());
        byte[] op = Codec.encode(new Op(CallKind.EVACUATE.code(), 0, 0, 0, "z", new byte[0]));
        assertEquals(
                List.of(),
                b.receive(A, new Entry(1, 1, op), 20),
                "an entry of the old epoch is taken after the pledge");
        assertFalse(((Pledge) sent(synced(b, b.receive(A, new Prepare(2, 1025, one), 30)), Pledge.class)
                        .get(0))
                .granted());
        assertFalse(
                ((Pledge) sent(synced(b, b.receive(C, new Prepare(2, 2049, one), 30)), Pledge.class)
                                .get(0))
                        .granted(),
                "a ballot is granted twice");
        assertFalse(((Accepted) sent(synced(b, b.receive(A, new Accept(2, 1025, one), 40)), Accepted.class)
                        .get(0))
                .granted());
    }

    @Test
    void pledgeIsToldOnlyOnceItIsSynced() {
        ReplicatedState b = ReplicatedState.create(B, ALL, true, List.of(), 1, 1);
        synced(b, b.tick(0, TOUCH));
        List<Output> outs = b.receive(C, new Prepare(2, 2049, b.view()), 10);
        assertEquals(List.of(), sent(outs, Pledge.class));
        assertEquals(1, sent(synced(b, outs), Pledge.class).size());
    }

    @Test
    void wipedNodeSaysNothingBeforeAMajorityToldIt() {
        ReplicatedState c = ReplicatedState.create(C, ALL, false, List.of(), 1, 1);
        View one = new View(1, ALL, ALL);
        List<Message> requests = sent(c.tick(0, TOUCH), Relearn.class);
        assertEquals(2, requests.size());
        assertEquals(List.of(), sent(synced(c, c.receive(A, new Prepare(2, 1025, one), 5)), Pledge.class));
        synced(c, c.receive(A, new Relearned(((Relearn) requests.get(0)).id(), 2, 3073, 0, null, one), 10));
        assertEquals(
                List.of(),
                sent(synced(c, c.receive(A, new Prepare(2, 4097, one), 15)), Pledge.class),
                "one is no majority");
        synced(c, c.receive(B, new Relearned(((Relearn) requests.get(1)).id(), 0, 0, 0, null, one), 20));
        Pledge p = (Pledge) sent(synced(c, c.receive(A, new Prepare(2, 2049, one), 25)), Pledge.class)
                .get(0);
        assertFalse(p.granted(), "a pledge made before the disk was lost is broken");
        Pledge q = (Pledge) sent(synced(c, c.receive(A, new Prepare(2, 4097, one), 30)), Pledge.class)
                .get(0);
        assertTrue(q.granted());
        assertEquals(-1, q.lineage(), "it claims a state that it lost");
    }

    /** Guards against a vote that forgets a promise: an answer to the process before is older than what that one promised. */
    @Test
    void wipedNodeTakesNoAnswerToTheProcessBefore() {
        View one = new View(1, ALL, ALL);
        List<Message> earlier =
                sent(ReplicatedState.create(C, ALL, false, List.of(), 1, 1).tick(0, TOUCH), Relearn.class);
        ReplicatedState c = ReplicatedState.create(C, ALL, false, List.of(), 2, 1);
        List<Message> own = sent(c.tick(0, TOUCH), Relearn.class);
        synced(c, c.receive(A, new Relearned(((Relearn) earlier.get(0)).id(), 0, 0, 0, null, one), 10));
        synced(c, c.receive(B, new Relearned(((Relearn) earlier.get(1)).id(), 0, 0, 0, null, one), 10));
        assertTrue(c.relearning(), "answers to the process before");
        synced(c, c.receive(A, new Relearned(((Relearn) own.get(0)).id(), 0, 0, 0, null, one), 20));
        synced(c, c.receive(B, new Relearned(((Relearn) own.get(1)).id(), 0, 0, 0, null, one), 20));
        assertFalse(c.relearning());
    }

    @Test
    void restartedNodeGoesOnFromItsDiskWhateverBootstrapSays() {
        ReplicatedState a = ReplicatedState.create(A, List.of(A), true, List.of(), 1, 1);
        synced(a, a.tick(0, TOUCH));
        assertEquals(List.of(Outcome.TAKEN), answers(synced(a, a.call(put(1, 0, 3), 30))));
        ReplicatedState again = ReplicatedState.create(A, List.of(A), true, a.durableRecords(), 2, 1);
        synced(again, again.tick(0, TOUCH));
        assertEquals(3, again.committed().revision());
        List<Output> outs = again.call(put(2, 0, 5), 40);
        assertEquals(List.of(Outcome.OTHER_VERSION), answers(outs), "its own word is the majority of one voter");
    }
}
