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
 * Confirms answers that depend only on this node's state: reads, rejections, and commands already in effect. An answer
 * is delivered only after a majority of voters has confirmed, later than the call arrived, that the view is still the
 * newest, and once everything that the answer depends on is committed.
 */
final class ViewConfirmations {
    /** How long a confirmation may take before the answer is dropped. */
    private static final long CONFIRMATION_TIMEOUT_MS = 2500;

    /** An answer that has not been delivered yet. */
    sealed interface PendingAnswer {
        OutstandingCall call();
    }

    /** A read, answered from the committed state once it is confirmed. */
    record Read(OutstandingCall call) implements PendingAnswer {}

    /** The answer to a command, decided on the state of the sequence number. */
    record DecidedAnswer(OutstandingCall call, Decision.Answer answer, long seq) implements PendingAnswer {}

    /** Delivers confirmed answers to the clients. */
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
    /** Confirmed answers that wait until everything they depend on is committed. */
    private final List<DecidedAnswer> uncommitted = new ArrayList<>();

    private long nextId;

    /**
     * @param firstId a random number, so that replies to an earlier incarnation of this node are not mistaken for its
     *     own
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

    /** Asks the voters whether this view is still the newest, before an answer that depends on the state held here. */
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

    /** Delivers the confirmed answers that depend on nothing newer than the sequence number. */
    void committed(long seq) {
        uncommitted.removeIf(decided -> {
            boolean due = decided.seq() <= seq;
            if (due) {
                answerHandler.deliver(decided);
            }
            return due;
        });
    }

    /** Starts a new view, in which whatever was decided but not answered is decided again. */
    void startView() {
        pending.clear();
        uncommitted.clear();
    }

    void tick() {
        pending.values().removeIf(request -> replica.nowMs() - request.sinceMs() > CONFIRMATION_TIMEOUT_MS);
    }
}
