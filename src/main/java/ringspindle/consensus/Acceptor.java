package ringspindle.consensus;

import java.util.List;
import java.util.function.Supplier;
import ringspindle.protocol.Message.Accept;
import ringspindle.protocol.Message.Accepted;
import ringspindle.protocol.Message.Decided;
import ringspindle.protocol.Message.Pledge;
import ringspindle.protocol.Message.Position;
import ringspindle.protocol.Message.Prepare;
import ringspindle.protocol.Message.Relearn;
import ringspindle.protocol.Message.Relearned;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.Message.Vote;
import ringspindle.protocol.NodeId;

/**
 * The voter's side of the agreement on the next view. A promise for epoch e + 1 also fences epoch e: from then on this node
 * neither takes entries of e nor confirms e. Whatever is told is on disk first.
 */
final class Acceptor {
    private final Replica replica;
    private final Effects effects;
    private final Supplier<Position> position;
    private long promisedEpoch;
    private long promised;
    private long acceptedBallot;
    private View accepted;
    private long fencedMs;

    /**
     * @param position how far this node's copy of the control state has come
     */
    Acceptor(Replica replica, Effects effects, Supplier<Position> position) {
        this.replica = replica;
        this.effects = effects;
        this.position = position;
    }

    /** Takes over what is known to have been promised and accepted: from disk, or from a majority after a lost disk. */
    void restore(long promisedEpoch, long promised, long acceptedBallot, View accepted) {
        this.promisedEpoch = promisedEpoch;
        this.promised = promised;
        this.acceptedBallot = acceptedBallot;
        this.accepted = accepted;
        fencedMs = replica.nowMs();
    }

    /** The record of all that this voter must not forget. */
    Vote vote() {
        return new Vote(promisedEpoch, promised, acceptedBallot, accepted, replica.view());
    }

    boolean fenced() {
        return replica.view() != null && promisedEpoch > replica.epoch();
    }

    boolean fencedFor(long ms) {
        return fenced() && replica.nowMs() - fencedMs >= ms;
    }

    /** The ballot promised for that epoch, 0 if none was. */
    long promisedBallot(long epoch) {
        return promisedEpoch == epoch ? promised : 0;
    }

    /** A newer view is in force: what was promised and accepted for it is settled. */
    void settled(View view) {
        if (promisedEpoch <= view.epoch()) {
            acceptedBallot = 0;
            accepted = null;
            promised = 0;
        }
    }

    void onPrepare(NodeId from, Prepare prepare) {
        if (replica.relearning() || replica.view() == null) {
            return;
        }
        if (prepare.epoch() != replica.epoch() + 1) {
            if (prepare.epoch() <= replica.epoch()) {
                effects.send(from, new Decided(replica.view()));
            }
            return;
        }
        if (!replica.votes()) {
            return;
        }
        if (promisedEpoch > prepare.epoch() || promisedEpoch == prepare.epoch() && prepare.ballot() <= promised) {
            effects.send(
                    from,
                    new Pledge(prepare.epoch(), prepare.ballot(), false, promised, 0, 0, 0, null, replica.view()));
            return;
        }
        if (promisedEpoch < prepare.epoch()) {
            fencedMs = replica.nowMs();
            acceptedBallot = 0;
            accepted = null;
        }
        promisedEpoch = prepare.epoch();
        promised = prepare.ballot();
        Position at = position.get();
        Pledge pledge = new Pledge(
                prepare.epoch(),
                prepare.ballot(),
                true,
                promised,
                acceptedBallot,
                at.lineage(),
                at.seq(),
                accepted,
                replica.view());
        effects.append(List.of(vote()), () -> effects.send(from, pledge));
    }

    void onAccept(NodeId from, Accept accept) {
        if (replica.relearning()
                || replica.view() == null
                || accept.epoch() != replica.epoch() + 1
                || !replica.votes()) {
            if (replica.view() != null && accept.epoch() <= replica.epoch()) {
                effects.send(from, new Decided(replica.view()));
            }
            return;
        }
        if (promisedEpoch == accept.epoch() && accept.ballot() < promised) {
            effects.send(from, new Accepted(accept.epoch(), accept.ballot(), false, promised));
            return;
        }
        if (promisedEpoch < accept.epoch()) {
            fencedMs = replica.nowMs();
        }
        promisedEpoch = accept.epoch();
        promised = accept.ballot();
        acceptedBallot = accept.ballot();
        accepted = accept.view();
        Accepted answer = new Accepted(accept.epoch(), accept.ballot(), true, accept.ballot());
        effects.append(List.of(vote()), () -> effects.send(from, answer));
    }

    /** Tells a node that lost its disk, or missed a view, what was promised here; on disk before it is told. */
    void onRelearn(NodeId from, Relearn relearn) {
        if (replica.relearning() || replica.view() == null) {
            return;
        }
        Vote vote = vote();
        Relearned answer = new Relearned(
                relearn.id(),
                vote.promisedEpoch(),
                vote.promised(),
                vote.acceptedBallot(),
                vote.accepted(),
                vote.view());
        effects.append(List.of(vote), () -> effects.send(from, answer));
    }

    @Override
    public String toString() {
        return "promised " + promisedEpoch + "/" + promised + " accepted " + acceptedBallot;
    }
}
