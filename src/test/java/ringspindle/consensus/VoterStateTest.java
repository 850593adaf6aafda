package ringspindle.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.Message.Vote;
import ringspindle.protocol.NodeId;

/** Transitions of the voter state and its durable record. */
class VoterStateTest {
    private static final NodeId A = NodeId.of("10.0.0.1:7000");
    private static final View NEXT = new View(2, List.of(A), List.of(A));
    private static final Ballot LOW = Ballot.of(1, 0);
    private static final Ballot HIGH = Ballot.of(2, 0);

    @Test
    void ballotsOfOneRoundDifferByProposerAndALaterRoundIsHigher() {
        assertTrue(Ballot.of(1, 1).isHigherThan(Ballot.of(1, 0)));
        assertTrue(Ballot.of(2, 0).isHigherThan(Ballot.of(1, 8)));
        assertFalse(Ballot.of(1, 0).isHigherThan(Ballot.of(1, 0)));
        assertTrue(Ballot.of(1, 0).isHigherThan(Ballot.NONE));
        assertEquals(7, Ballot.of(7, 8).round());
        assertEquals(
                1 << 10 | 1, Ballot.of(1, 0).number(), "the encoded number in messages and on disk must not change");
    }

    @Test
    void aHigherPromiseForTheSameEpochKeepsTheAcceptedView() {
        VoterState accepted = new VoterState.Accepting(2, LOW, LOW, NEXT);
        VoterState after = accepted.withPromise(new ProposalId(2, HIGH));
        assertEquals(new VoterState.Accepting(2, HIGH, LOW, NEXT), after);
    }

    @Test
    void aPromiseForALaterEpochDiscardsTheAcceptedView() {
        VoterState accepted = new VoterState.Accepting(2, LOW, LOW, NEXT);
        assertEquals(new VoterState.Promised(3, LOW), accepted.withPromise(new ProposalId(3, LOW)));
        assertNull(accepted.withPromise(new ProposalId(3, LOW)).accepted());
    }

    @Test
    void eachStateRoundTripsThroughItsRecord() {
        List<VoterState> states = List.of(
                new VoterState.Unpromised(0),
                new VoterState.Unpromised(4),
                new VoterState.Promised(2, HIGH),
                new VoterState.Accepting(2, HIGH, LOW, NEXT));
        for (VoterState state : states) {
            Vote vote = state.toVote(NEXT);
            VoterState restored =
                    VoterState.of(vote.promisedEpoch(), vote.promised(), vote.acceptedBallot(), vote.accepted());
            assertEquals(state, restored);
        }
    }
}
