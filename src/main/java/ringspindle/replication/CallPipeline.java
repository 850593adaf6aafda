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
 * Orders and readings on their way: held by the node that took them from a caller, passed to the head or tail of the view,
 * decided there, and answered. A node that took a call passes it on again in the next view; a caller gets one answer.
 */
final class CallPipeline implements ChainMember.Listener, ViewConfirmations.AnswerHandler {
    /** How long an order is held before its caller is told that nothing is clear. */
    private static final long HELD_MS = 950;

    private static final long HELD_CONFIG_MS = 2500;
    private static final byte[] NONE = {};

    private final ReplicaContext replica;
    private final OutputQueue outputs;
    private final ChainMember member;
    private final BooleanSupplier takesOrders;
    private final CommandDecider decider = new CommandDecider();
    private final OutstandingCalls held = new OutstandingCalls();
    private final ViewConfirmations confirmations;

    /**
     * @param firstConfirmation from chance, as {@link ViewConfirmations} needs it
     * @param takesOrders false while too few voters could keep what would be acknowledged
     */
    CallPipeline(
            ReplicaContext replica,
            OutputQueue outputs,
            ChainMember member,
            long firstConfirmation,
            BooleanSupplier takesOrders) {
        this.replica = replica;
        this.outputs = outputs;
        this.member = member;
        this.takesOrders = takesOrders;
        confirmations = new ViewConfirmations(replica, outputs, member, this, firstConfirmation);
    }

    // ---- calls come in

    /** A caller's own call. */
    void take(Call call) {
        hold(replica.self(), call.since(knownVersion(call)));
    }

    /** How new what a caller's order may replace is, as far as this node knows; orders on revisions name theirs. */
    private long knownVersion(Call call) {
        Mark mark =
                switch (CallKind.of(call.kind())) {
                    case EVACUATE, RESTORE -> ControlState.mark(member.last(), MarkKind.EVACUATED, call.arg());
                    case ROLLOUT -> ControlState.mark(member.last(), MarkKind.ROLLOUT, call.arg());
                    default -> null;
                };
        return mark == null ? call.base() : Math.max(call.base(), mark.version());
    }

    /** A call that another node took; whoever passes it on asks the next view's head anew, so it must not wait here for that. */
    void onCall(NodeId from, Call call) {
        if (replica.view() != null && target(call).equals(replica.self())) {
            hold(from, call);
        }
    }

    private NodeId target(Call call) {
        return CallKind.of(call.kind()) == CallKind.READ
                ? replica.view().tail()
                : replica.view().head();
    }

    private void hold(NodeId origin, Call call) {
        held.add(origin, call, replica.nowMs());
        goOn();
    }

    /** A new view: others ask anew; what was decided and not answered is decided anew. */
    void startView() {
        confirmations.startView();
        // an answer is final: what was refused here must not be passed on and acted on there
        held.forgetAnswered();
        held.keepOnly(replica.self());
        goOn();
    }

    /** A connection stands anew: what was passed on over an older one may be lost. */
    void onOpened(NodeId peer) {
        if (replica.view() == null) {
            return;
        }
        for (OutstandingCall call : held.of(replica.self())) {
            if (target(call.call()).equals(peer)) {
                call.waitAgain();
            }
        }
        goOn();
    }

    /** Passes on or decides what has not been in this view. */
    void goOn() {
        if (held.isEmpty() || !replica.participates()) {
            return;
        }
        held.forEach(call -> {
            // whoever asked before a pause of this node has long asked elsewhere, and may have gone on from there
            if (!call.handedOverIn(replica.epoch()) && !overdue(call)) {
                handOver(call);
            }
        });
        held.forgetAnswered();
    }

    private void handOver(OutstandingCall call) {
        NodeId target = target(call.call());
        if (target.equals(replica.self())) {
            decideIfReady(call);
        } else if (call.id().origin().equals(replica.self()) && (!replica.linksKnown() || replica.linked(target))) {
            call.handOver(replica.epoch());
            outputs.send(target, call.call());
        }
    }

    private void decideIfReady(OutstandingCall call) {
        boolean reading = call.kind() == CallKind.READ;
        if (!member.established() || !reading && !takesOrders.getAsBoolean()) {
            return;
        }
        call.handOver(replica.epoch());
        if (reading) {
            confirmations.ask(new ViewConfirmations.Read(call));
        } else {
            decide(call);
        }
    }

    private void decide(OutstandingCall call) {
        Decision decision = decider.decide(member.last(), call.call());
        if (decision instanceof Decision.Commit commit) {
            member.append(commit.op(), call.id());
        } else if (decision instanceof Decision.Answer answer) {
            confirmations.ask(new ViewConfirmations.DecidedAnswer(
                    call, answer, member.last().seq()));
        }
    }

    private boolean overdue(OutstandingCall call) {
        return call.ageMs(replica.nowMs()) >= (call.kind().changesConfiguration() ? HELD_CONFIG_MS : HELD_MS);
    }

    /** Gives up what was held for too long: its caller is told that nothing is clear. */
    void tick() {
        held.removeIf(call -> {
            boolean overdue = overdue(call);
            if (overdue && call.id().origin().equals(replica.self())) {
                outputs.emit(new ReplicatedState.Output.Answer(call.id().number(), Outcome.UNCLEAR, NONE));
            }
            return overdue;
        });
        confirmations.tick();
    }

    // ---- answers

    void onConfirmed(NodeId from, Confirmed confirmation) {
        confirmations.onConfirmed(from, confirmation);
    }

    @Override
    public void deliver(ViewConfirmations.Read reading) {
        byte[] found = member.committed().config();
        if (reading.call().call().arg().equals(CallKind.RULES_ARGUMENT)) {
            Mark rules = ControlState.mark(member.committed(), MarkKind.RULES, ControlState.RULES_KEY);
            found = rules == null ? NONE : rules.value().getBytes(UTF_8);
        }
        answer(reading.call(), found.length == 0 ? Outcome.NO_SUCH : Outcome.TAKEN, found);
    }

    @Override
    public void deliver(ViewConfirmations.DecidedAnswer decided) {
        answer(decided.call(), decided.answer().outcome(), decided.answer().body());
    }

    private void answer(OutstandingCall call, Outcome outcome, byte[] body) {
        held.answered(call.id());
        reply(call.id(), outcome, body);
    }

    @Override
    public void acknowledged(CallId call) {
        held.answeredIfHeld(call);
        reply(call, Outcome.TAKEN, NONE);
    }

    @Override
    public void committed(long seq) {
        confirmations.committed(seq);
        goOn();
    }

    private void reply(CallId call, Outcome outcome, byte[] body) {
        if (call.origin().equals(replica.self())) {
            outputs.emit(new ReplicatedState.Output.Answer(call.number(), outcome, body));
        } else {
            outputs.send(call.origin(), new Reply(call.number(), outcome.ordinal(), body));
        }
    }

    /** The answer of the head or tail to a call that was taken here. */
    void onReply(Reply reply) {
        boolean known = reply.outcome() >= 0 && reply.outcome() < Outcome.values().length;
        if (known && held.remove(new CallId(replica.self(), reply.id()))) {
            outputs.emit(
                    new ReplicatedState.Output.Answer(reply.id(), Outcome.values()[reply.outcome()], reply.body()));
        }
    }

    @Override
    public String toString() {
        return "held " + held.size();
    }
}
