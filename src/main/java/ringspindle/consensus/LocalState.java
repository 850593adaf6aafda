package ringspindle.consensus;

import ringspindle.protocol.Message.Position;
import ringspindle.protocol.Message.View;

/** The node's copy of the control state, as seen by view consensus. */
public interface LocalState {
    /**
     * The newest position, synced or not; {@link Position#NONE} or a position before any state if there is no state.
     */
    Position position();

    /** Whether the state belongs to the current view. */
    boolean belongsToCurrentView();

    /** Whether entries have been waiting for commit for longer than the given time in milliseconds. */
    boolean stalledFor(long ms);

    /** Called when a new view takes effect. */
    void onViewStarted(View view);

    /** Called when this node has relearned the promises and may vote; its state starts empty. */
    void onRelearned(View view);
}
