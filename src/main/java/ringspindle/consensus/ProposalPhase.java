package ringspindle.consensus;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import ringspindle.protocol.Message.Pledge;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/**
 * The phase of this node's proposal for the next view. {@link Proposer} owns all transitions: idle, collecting
 * promises, collecting acceptances of one value. A proposal returns to idle when a voter has promised a higher ballot,
 * when it times out, and when a view takes effect.
 *
 * <p>Invariants: a node has at most one open proposal; the value of a ballot never changes once it is chosen; replies
 * count only for the proposal that they name.
 */
sealed interface ProposalPhase {
    /**
     * No proposal is open.
     *
     * @param notBeforeMs the earliest time for the next proposal
     */
    record Idle(long notBeforeMs) implements ProposalPhase {}

    /** An open proposal. */
    sealed interface Open extends ProposalPhase {
        ProposalId id();

        /** When the proposal was started. */
        long sinceMs();
    }

    /** Phase one: collects promises. The proposed value depends on what the voters have accepted before. */
    record CollectingPromises(ProposalId id, long sinceMs, Map<NodeId, Pledge> promises) implements Open {
        CollectingPromises(ProposalId id, long sinceMs) {
            this(id, sinceMs, new TreeMap<>());
        }

        /**
         * Returns the view accepted under the highest ballot, which may already be decided; null if none was accepted.
         */
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

    /** Phase two: collects acceptances of the value. */
    record CollectingAcceptances(ProposalId id, long sinceMs, View value, Set<NodeId> accepts) implements Open {}
}
