package ringspindle.replication;

import it.unimi.dsi.fastutil.longs.Long2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.longs.Long2ObjectMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import ringspindle.consensus.ReplicaContext;
import ringspindle.protocol.Message.Confirm;
import ringspindle.protocol.Message.Confirmed;
import ringspindle.protocol.NodeId;
import ringspindle.replication.OutstandingCalls.OutstandingCall;

/**
 * Answers that change nothing and so rest on this node's state alone: a reading, a refusal, or "already so". One goes out only
 * after a majority of voters confirmed, later than the call came, that the view is still the newest, and once all that it
 * rests on is committed.
 */
final class ViewConfirmations {
    /** An answer is no longer asked about after so long. */
    private static final long CONFIRMATION_TIMEOUT_MS = 2500;

    /** An answer that is not given yet. */
    sealed interface PendingAnswer {
        OutstandingCall call();
    }

    /** A reading: made of the committed state, once it is confirmed. */
    record Read(OutstandingCall call) implements PendingAnswer {}

    /** An order's answer, decided on the state of that sequence number. */
    record DecidedAnswer(OutstandingCall call, Decision.Answer answer, long seq) implements PendingAnswer {}

    /** Gives the answers to the callers. */
    interface AnswerHandler {
        void deliver(Read read);

        void deliver(DecidedAnswer decided);
    }

    private record PendingConfirmation(PendingAnswer answer, long sinceMs, Set<NodeId> confirmedBy) {}

    private final ReplicaContext replica;
    private final OutputQueue outputs;
    private final ChainMember member;
    private final AnswerHandler answerHandler;
    private final Long2ObjectMap<PendingConfirmation> pending = new Long2ObjectLinkedOpenHashMap<>();
    /** Confirmed, and waiting until all that they rest on is committed. */
    private final List<DecidedAnswer> uncommitted = new ArrayList<>();

    private long nextId;

    /**
     * @param firstId from chance, so that numbers of an earlier life of this node are not taken for this one's
     */
    ViewConfirmations(
            ReplicaContext replica,
            OutputQueue outputs,
            ChainMember member,
            AnswerHandler answerHandler,
            long firstId) {
        this.replica = replica;
        this.outputs = outputs;
        this.member = member;
        this.answerHandler = answerHandler;
        nextId = firstId;
    }

    /** Asks the voters whether this view is still the newest, before an answer that rests on the state held here. */
    void request(PendingAnswer answer) {
        long id = nextId++;
        pending.put(id, new PendingConfirmation(answer, replica.nowMs(), new TreeSet<>()));
        replica.view().voters().forEach(voter -> outputs.send(voter, new Confirm(replica.epoch(), id)));
    }

    void onConfirmed(NodeId from, Confirmed confirmation) {
        PendingConfirmation request = pending.get(confirmation.id());
        if (request == null || !isValid(from, confirmation)) {
            return;
        }
        request.confirmedBy().add(from);
        if (request.confirmedBy().size() < replica.view().majority()) {
            return;
        }
        pending.remove(confirmation.id());
        if (request.answer() instanceof Read read) {
            answerHandler.deliver(read);
        } else if (request.answer() instanceof DecidedAnswer decided) {
            deliverOnceCommitted(decided);
        }
    }

    private boolean isValid(NodeId from, Confirmed confirmation) {
        return confirmation.ok()
                && replica.view() != null
                && confirmation.epoch() == replica.epoch()
                && replica.view().voters().contains(from)
                && member.hasCommittedInView();
    }

    private void deliverOnceCommitted(DecidedAnswer decided) {
        if (member.committed().seq() >= decided.seq()) {
            answerHandler.deliver(decided);
        } else {
            uncommitted.add(decided);
        }
    }

    /** All up to that sequence number is committed. */
    void committed(long seq) {
        uncommitted.removeIf(decided -> {
            boolean due = decided.seq() <= seq;
            if (due) {
                answerHandler.deliver(decided);
            }
            return due;
        });
    }

    /** A new view: what was decided and not answered is decided anew. */
    void startView() {
        pending.clear();
        uncommitted.clear();
    }

    void tick() {
        pending.values().removeIf(request -> replica.nowMs() - request.sinceMs() > CONFIRMATION_TIMEOUT_MS);
    }
}
