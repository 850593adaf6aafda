package ringspindle.consensus;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import ringspindle.protocol.Message.Pledge;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/**
 * How far this node's proposal of the next view is. {@link Proposer} owns all transitions: idle, then collecting promises, then
 * collecting acceptances of one value; back to idle from either when it is outbid, too old, or a view came into force.
 *
 * <p>Invariants: a node has one proposal at a time; once a value is chosen for a ballot it never changes; answers count only
 * for the proposal that they name.
 */
sealed interface ProposalPhase {
    /**
     * No proposal is under way.
     *
     * @param notBeforeMs none is begun before this time
     */
    record Idle(long notBeforeMs) implements ProposalPhase {}

    /** A proposal that is under way. */
    sealed interface Open extends ProposalPhase {
        ProposalId id();

        /** When the proposal was begun. */
        long sinceMs();
    }

    /** Voters are asked to promise; what is proposed depends on what they have accepted before. */
    record CollectingPromises(ProposalId id, long sinceMs, Map<NodeId, Pledge> promises) implements Open {
        CollectingPromises(ProposalId id, long sinceMs) {
            this(id, sinceMs, new TreeMap<>());
        }

        /** The view accepted under the highest ballot, which may have been decided already; null if none was accepted. */
        View highestAccepted() {
            View value = null;
            Ballot highest = Ballot.NONE;
            for (Pledge promise : promises.values()) {
                Ballot ballot = new Ballot(promise.acceptedBallot());
                if (promise.accepted() != null && ballot.isHigherThan(highest)) {
                    highest = ballot;
                    value = promise.accepted();
                }
            }
            return value;
        }

        CollectingAcceptances withValue(View value) {
            return new CollectingAcceptances(id, sinceMs, value, new TreeSet<>());
        }
    }

    /** Voters are asked to accept the value. */
    record CollectingAcceptances(ProposalId id, long sinceMs, View value, Set<NodeId> accepts) implements Open {}
}
