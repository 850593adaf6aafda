package ringspindle.consensus;

import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import ringspindle.protocol.Message.Accept;
import ringspindle.protocol.Message.Accepted;
import ringspindle.protocol.Message.Decided;
import ringspindle.protocol.Message.Pledge;
import ringspindle.protocol.Message.Prepare;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/** The proposing side of the agreement on the next view: single-decree agreement among the voters of the view in force. */
final class Proposer {
    /** A proposal older than this is given up, also by a node that was paused meanwhile. */
    private static final long PROPOSAL_MS = 700;
    /** How long a majority waits for the promises of others that seem to be there. */
    private static final long STRAGGLERS_MS = 250;

    private static final long BACKOFF_MS = 150;
    private static final int BACKOFF_SPREAD_MS = 400;
    private static final long AFTER_VIEW_MS = 300;
    /** Low bits of a ballot name the proposer, so that no two propose under one. */
    private static final int PROPOSER_BITS = 10;

    private static final class Proposal {
        final long epoch;
        final long ballot;
        final long sinceMs;
        final Map<NodeId, Pledge> promises = new TreeMap<>();
        final Set<NodeId> accepts = new TreeSet<>();
        /** What is to be accepted, null while promises are collected. */
        View value;

        Proposal(long epoch, long ballot, long sinceMs) {
            this.epoch = epoch;
            this.ballot = ballot;
            this.sinceMs = sinceMs;
        }
    }

    private final Replica replica;
    private final Effects effects;
    private final Random random;
    private final Acceptor acceptor;
    private final ViewPlanner planner;
    private final Consumer<View> decided;
    private Proposal proposal;
    private long round;
    private long nextProposalMs;

    /**
     * @param decided hears of the view that was decided
     */
    Proposer(
            Replica replica,
            Effects effects,
            Random random,
            Acceptor acceptor,
            ViewPlanner planner,
            Consumer<View> decided) {
        this.replica = replica;
        this.effects = effects;
        this.random = random;
        this.acceptor = acceptor;
        this.planner = planner;
        this.decided = decided;
    }

    boolean proposing() {
        return proposal != null;
    }

    boolean mayPropose() {
        return replica.nowMs() >= nextProposalMs;
    }

    /** A new view is in force; the next one is not proposed at once. */
    void startView() {
        proposal = null;
        nextProposalMs = replica.nowMs() + AFTER_VIEW_MS;
    }

    void propose() {
        long epoch = replica.epoch() + 1;
        round = Math.max(round, acceptor.promisedBallot(epoch) >> PROPOSER_BITS) + 1;
        long ballot = round << PROPOSER_BITS | replica.view().voters().indexOf(replica.self()) + 1;
        proposal = new Proposal(epoch, ballot, replica.nowMs());
        for (NodeId voter : replica.view().voters()) {
            effects.send(voter, new Prepare(epoch, ballot, replica.view()));
        }
    }

    void tick() {
        maybeAccept();
        if (proposal != null && expired()) {
            giveUp();
        }
    }

    void onPromise(NodeId from, Pledge pledge) {
        boolean awaited = proposal != null
                && proposal.value == null
                && proposal.epoch == pledge.epoch()
                && proposal.ballot == pledge.ballot();
        if (!awaited) {
            return;
        }
        if (expired()) {
            giveUp();
        } else if (!pledge.granted()) {
            outbid(pledge.promised());
        } else {
            proposal.promises.put(from, pledge);
            maybeAccept();
        }
    }

    /** Goes on once a majority promised; waits a little for the others that seem to be there. */
    private void maybeAccept() {
        if (proposal == null
                || proposal.value != null
                || proposal.promises.size() < replica.view().majority()
                || expired()) {
            return;
        }
        long expected = replica.view().voters().stream()
                .filter(v -> v.equals(replica.self()) || replica.linked(v))
                .count();
        if (proposal.promises.size() < expected && replica.nowMs() - proposal.sinceMs < STRAGGLERS_MS) {
            return;
        }
        View accepted = highestAccepted();
        View value = accepted != null ? accepted : planner.plan(proposal.epoch, proposal.promises);
        if (value == null) {
            giveUp();
            return;
        }
        proposal.value = value;
        for (NodeId voter : replica.view().voters()) {
            effects.send(voter, new Accept(proposal.epoch, proposal.ballot, value));
        }
    }

    /** What may have been decided already, null if nothing was accepted. */
    private View highestAccepted() {
        View value = null;
        long highest = 0;
        for (Pledge pledge : proposal.promises.values()) {
            if (pledge.accepted() != null && pledge.acceptedBallot() > highest) {
                highest = pledge.acceptedBallot();
                value = pledge.accepted();
            }
        }
        return value;
    }

    void onAccepted(NodeId from, Accepted answer) {
        boolean awaited = proposal != null
                && proposal.value != null
                && proposal.epoch == answer.epoch()
                && proposal.ballot == answer.ballot();
        if (!awaited) {
            return;
        }
        if (expired()) {
            giveUp();
        } else if (!answer.granted()) {
            outbid(answer.promised());
        } else {
            proposal.accepts.add(from);
            if (proposal.accepts.size() >= replica.view().majority()) {
                announce(proposal.value);
            }
        }
    }

    private void announce(View view) {
        Set<NodeId> all = new TreeSet<>(replica.view().voters());
        all.addAll(view.voters());
        if (replica.connectivity() != null) {
            // nodes without a vote, too, pass calls on to the head
            all.addAll(replica.connectivity().live());
        }
        all.remove(replica.self());
        all.forEach(node -> effects.send(node, new Decided(view)));
        decided.accept(view);
    }

    /** A promise from before a pause of this node may be of a voter that has lost its disk since. */
    private boolean expired() {
        return replica.nowMs() - proposal.sinceMs > PROPOSAL_MS;
    }

    private void outbid(long ballot) {
        round = Math.max(round, ballot >> PROPOSER_BITS);
        giveUp();
    }

    private void giveUp() {
        proposal = null;
        nextProposalMs = replica.nowMs() + BACKOFF_MS + random.nextInt(BACKOFF_SPREAD_MS);
    }
}
