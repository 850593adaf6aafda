package ringspindle.replication;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.function.BooleanSupplier;
import ringspindle.api.Outcome;
import ringspindle.consensus.ReplicaContext;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.Confirmed;
import ringspindle.protocol.Message.Mark;
import ringspindle.protocol.Message.Reply;
import ringspindle.protocol.NodeId;
import ringspindle.replication.OutstandingCalls.OutstandingCall;

/**
 * Processes commands and reads. The node that received a call from a client keeps it and forwards it to the head or
 * tail of the view, where it is decided and answered. That node forwards the call again in the next view; the client
 * gets one answer.
 */
final class CallPipeline implements ChainMember.Listener, ViewConfirmations.AnswerHandler {
    /** How long a call is kept before its client gets the answer that the outcome is unclear. */
    private static final long CALL_TIMEOUT_MS = 950;

    private static final long CONFIGURATION_CALL_TIMEOUT_MS = 2500;
    private static final byte[] EMPTY_BODY = {};

    private final ReplicaContext replica;
    private final OutputQueue outputs;
    private final ChainMember member;
    private final BooleanSupplier acceptsCommands;
    private final CommandDecider decider = new CommandDecider();
    private final OutstandingCalls outstanding = new OutstandingCalls();
    private final ViewConfirmations confirmations;

    /**
     * @param firstConfirmationId a random number, as {@link ViewConfirmations} requires
     * @param acceptsCommands false while there are too few voters to preserve what would be acknowledged
     */
    CallPipeline(
            ReplicaContext replica,
            OutputQueue outputs,
            ChainMember member,
            long firstConfirmationId,
            BooleanSupplier acceptsCommands) {
        this.replica = replica;
        this.outputs = outputs;
        this.member = member;
        this.acceptsCommands = acceptsCommands;
        confirmations = new ViewConfirmations(replica, outputs, member, this, firstConfirmationId);
    }

    // ---- incoming calls

    /** Accepts a call from a client of this node. */
    void submit(Call call) {
        enqueue(replica.self(), call.since(knownVersion(call)));
    }

    /** Returns the newest version known here of what the command may replace; commands on revisions name theirs. */
    private long knownVersion(Call call) {
        Mark mark =
                switch (CallKind.of(call.kind())) {
                    case EVACUATE, RESTORE -> ControlState.findMark(member.latest(), MarkKind.EVACUATED, call.arg());
                    case ROLLOUT -> ControlState.findMark(member.latest(), MarkKind.ROLLOUT, call.arg());
                    default -> null;
                };
        return mark == null ? call.base() : Math.max(call.base(), mark.version());
    }

    /**
     * Accepts a call from another node. It must not wait here for a later view, since the sender asks the next view's
     * head again.
     */
    void onCall(NodeId from, Call call) {
        if (replica.view() != null && target(call).equals(replica.self())) {
            enqueue(from, call);
        }
    }

    private NodeId target(Call call) {
        return CallKind.of(call.kind()) == CallKind.READ
                ? replica.view().tail()
                : replica.view().head();
    }

    private void enqueue(NodeId origin, Call call) {
        outstanding.add(origin, call, replica.nowMs());
        process();
    }

    /** Starts a new view: other nodes ask again, and what was decided but not answered is decided again. */
    void startView() {
        confirmations.startView();
        // an answer is final: a call that was rejected here must not be forwarded and then take effect elsewhere
        outstanding.removeAnswered();
        outstanding.retainOrigin(replica.self());
        process();
    }

    /** Called for a new connection to a peer; calls forwarded on an older one may be lost. */
    void onConnectionOpened(NodeId peer) {
        if (replica.view() == null) {
            return;
        }
        for (OutstandingCall call : outstanding.from(replica.self())) {
            if (target(call.call()).equals(peer)) {
                call.markWaiting();
            }
        }
        process();
    }

    /** Forwards or decides all calls that have not been processed in this view. */
    void process() {
        if (outstanding.isEmpty() || !replica.participates()) {
            return;
        }
        outstanding.forEach(call -> {
            // after a pause of this node, the sender has long asked elsewhere, and its client may have acted on that
            // answer
            if (!call.dispatchedIn(replica.epoch()) && !timedOut(call)) {
                dispatch(call);
            }
        });
        outstanding.removeAnswered();
    }

    private void dispatch(OutstandingCall call) {
        NodeId target = target(call.call());
        if (target.equals(replica.self())) {
            decideIfReady(call);
        } else if (call.id().origin().equals(replica.self())
                && (!replica.connectivityKnown() || replica.connectedTo(target))) {
            call.markDispatched(replica.epoch());
            outputs.send(target, call.call());
        }
    }

    private void decideIfReady(OutstandingCall call) {
        boolean isRead = call.kind() == CallKind.READ;
        if (!member.hasCommittedInView() || !isRead && !acceptsCommands.getAsBoolean()) {
            return;
        }
        call.markDispatched(replica.epoch());
        if (isRead) {
            confirmations.request(new ViewConfirmations.Read(call));
        } else {
            decide(call);
        }
    }

    private void decide(OutstandingCall call) {
        Decision decision = decider.decide(member.latest(), call.call());
        if (decision instanceof Decision.Commit commit) {
            member.append(commit.op(), call.id());
        } else if (decision instanceof Decision.Answer answer) {
            confirmations.request(new ViewConfirmations.DecidedAnswer(
                    call, answer, member.latest().seq()));
        }
    }

    private boolean timedOut(OutstandingCall call) {
        return call.ageMs(replica.nowMs())
                >= (call.kind().changesConfiguration() ? CONFIGURATION_CALL_TIMEOUT_MS : CALL_TIMEOUT_MS);
    }

    /** Drops calls that timed out; the clients of this node get the answer that the outcome is unclear. */
    void tick() {
        outstanding.removeIf(call -> {
            boolean expired = timedOut(call);
            if (expired && call.id().origin().equals(replica.self())) {
                outputs.emit(new ReplicatedState.Output.Answer(call.id().number(), Outcome.UNCLEAR, EMPTY_BODY));
            }
            return expired;
        });
        confirmations.tick();
    }

    // ---- answers

    void onConfirmed(NodeId from, Confirmed confirmation) {
        confirmations.onConfirmed(from, confirmation);
    }

    @Override
    public void deliver(ViewConfirmations.Read read) {
        byte[] content = member.committed().config();
        if (read.call().call().arg().equals(CallKind.RULES_ARGUMENT)) {
            Mark rules = ControlState.findMark(member.committed(), MarkKind.RULES, ControlState.RULES_KEY);
            content = rules == null ? EMPTY_BODY : rules.value().getBytes(UTF_8);
        }
        answer(read.call(), content.length == 0 ? Outcome.NO_SUCH : Outcome.TAKEN, content);
    }

    @Override
    public void deliver(ViewConfirmations.DecidedAnswer decided) {
        answer(decided.call(), decided.answer().outcome(), decided.answer().body());
    }

    private void answer(OutstandingCall call, Outcome outcome, byte[] body) {
        outstanding.markAnswered(call.id());
        reply(call.id(), outcome, body);
    }

    @Override
    public void acknowledged(CallId call) {
        outstanding.markAnsweredIfOutstanding(call);
        reply(call, Outcome.TAKEN, EMPTY_BODY);
    }

    @Override
    public void committed(long seq) {
        confirmations.committed(seq);
        process();
    }

    private void reply(CallId call, Outcome outcome, byte[] body) {
        if (call.origin().equals(replica.self())) {
            outputs.emit(new ReplicatedState.Output.Answer(call.number(), outcome, body));
        } else {
            outputs.send(call.origin(), new Reply(call.number(), outcome.ordinal(), body));
        }
    }

    /** Processes the reply of the head or tail to a call that this node received. */
    void onReply(Reply reply) {
        boolean known = reply.outcome() >= 0 && reply.outcome() < Outcome.values().length;
        if (known && outstanding.remove(new CallId(replica.self(), reply.id()))) {
            outputs.emit(
                    new ReplicatedState.Output.Answer(reply.id(), Outcome.values()[reply.outcome()], reply.body()));
        }
    }

    @Override
    public String toString() {
        return "held " + outstanding.size();
    }
}
