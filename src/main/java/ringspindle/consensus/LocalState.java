package ringspindle.consensus;

import ringspindle.protocol.Message.Position;
import ringspindle.protocol.Message.View;

/** The copy of the control state on this node, as far as the agreement on views has to know of it and to tell it. */
public interface LocalState {
    /** How far the copy has come, on disk or not; {@link Position#NONE} or one before every state if there is nothing. */
    Position position();

    /** True if the copy stems from the view in force. */
    boolean belongsToCurrentView();

    /** True while entries have waited for longer than that, in milliseconds, to be committed. */
    boolean stalledFor(long ms);

    /** Another view is in force from now on. */
    void onViewStarted(View view);

    /** A node without memory has relearned what was promised, and may vote from now on; its copy starts anew. */
    void onRelearned(View view);
}
