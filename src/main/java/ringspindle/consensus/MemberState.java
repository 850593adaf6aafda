package ringspindle.consensus;

import ringspindle.protocol.Message.View;

/**
 * Whether this node remembers what it promised. {@link ReplicaContext} owns all transitions.
 *
 * <p>Invariants: a process that participates never goes back to relearning; the epoch of {@link #view} never falls.
 */
sealed interface MemberState {
    /** The newest view, null if unknown. */
    View view();

    /** The same state under a newer view. */
    MemberState withView(View newer);

    /** The node may have forgotten what it promised, and so takes no part; it may have heard of a view all the same. */
    record Relearning(View view) implements MemberState {
        @Override
        public MemberState withView(View newer) {
            return new Relearning(newer);
        }
    }

    /** The node votes and holds state wherever the view, which is known, asks it to. */
    record Participating(View view) implements MemberState {
        @Override
        public MemberState withView(View newer) {
            return new Participating(newer);
        }
    }
}
