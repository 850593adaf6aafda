package ringspindle.proxy;

import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * The event stream of one attempt: gives the events that may go to the client, and keeps them where the stream is passed on
 * only when it is whole. Not thread safe.
 */
final class EngineStream {
    private final StreamPosition position;
    private final EventRelay relay = new EventRelay();
    /** Null for a stream that is passed on event by event. */
    private final BufferedBody held;

    private boolean broken;

    /**
     * A stream that has not begun.
     *
     * @param position how far the client's stream has come; moves on with the events of this one
     * @param heldWhole nothing goes to the client before the stream is whole
     */
    EngineStream(StreamPosition position, boolean heldWhole) {
        this.position = position;
        held = heldWhole ? new BufferedBody() : null;
    }

    /** The head has come; false if this run cannot go on behind what the client has. */
    boolean begin(String weightVersions, boolean resumes) {
        if (resumes) {
            return position.isCompatibleWith(weightVersions);
        }
        position.recordWeightVersion(weightVersions);
        return true;
    }

    /** What may be passed on of a part. */
    EventRelay.Passage feed(ByteBuffer part) {
        EventRelay.Passage passage = relay.feed(part, position);
        broken = passage.isBroken();
        return passage;
    }

    /** True once nothing behind the events so far may be passed on. */
    boolean isBroken() {
        return broken;
    }

    /** True for a stream that is passed on only when it is whole. */
    boolean isHeldWhole() {
        return held != null;
    }

    /** Keeps events; false if the stream cannot go on behind them. */
    boolean hold(byte[] events) {
        return held.append(ByteBuffer.wrap(events)) && !broken;
    }

    /** The events that are kept and that the client does not have, if there are any; another run cannot go on behind them. */
    Optional<byte[]> heldEvents() {
        return holdsEvents() ? Optional.of(held.toByteArray()) : Optional.empty();
    }

    /** True if there are events that are kept and that the client does not have. */
    boolean holdsEvents() {
        return held != null && !held.isEmpty();
    }

    /** True if it may end as complete here: it has events, and none of them in part. */
    boolean isWhole(boolean committed) {
        return !relay.hasPartialEvent() && (committed || holdsEvents());
    }
}
