package ringspindle.consensus;

import ringspindle.protocol.Message.View;

/**
 * Whether this node knows its earlier promises. {@link ReplicaContext} owns all transitions.
 *
 * <p>Invariants: a participating process never returns to relearning; the epoch of {@link #view} never decreases.
 */
sealed interface MemberState {
    /** The newest known view, or null. */
    View view();

    /** Returns this state with a newer view. */
    MemberState withView(View newer);

    /** The node may have lost its promises and does not participate; it may know of a view nevertheless. */
    record Relearning(View view) implements MemberState {
        @Override
        public MemberState withView(View newer) {
            return new Relearning(newer);
        }
    }

    /** The node votes and holds state as assigned by the view, which is known. */
    record Participating(View view) implements MemberState {
        @Override
        public MemberState withView(View newer) {
            return new Participating(newer);
        }
    }
}
