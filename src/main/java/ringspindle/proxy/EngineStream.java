package ringspindle.proxy;

import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * The event stream of one attempt. It selects the events that may be forwarded to the client, and buffers them if the
 * stream is only forwarded once it is complete. Not thread safe.
 */
final class EngineStream {
    private final StreamPosition position;
    private final EventRelay relay = new EventRelay();
    /** Null for a stream that is forwarded event by event. */
    private final BufferedBody buffer;

    private boolean broken;

    /**
     * Creates a stream that has not started.
     *
     * @param position the position of the client's stream, which advances with the events of this one
     * @param isBuffered whether nothing is forwarded before the stream is complete
     */
    EngineStream(StreamPosition position, boolean isBuffered) {
        this.position = position;
        buffer = isBuffered ? new BufferedBody() : null;
    }

    /** Handles the response headers; returns false if this stream cannot resume the client's one. */
    boolean onHeaders(String weightVersions, boolean resumes) {
        if (resumes) {
            return position.isCompatibleWith(weightVersions);
        }
        position.recordWeightVersion(weightVersions);
        return true;
    }

    /** Takes a part of the body and returns the events that may be forwarded. */
    EventRelay.RelayedEvents feed(ByteBuffer part) {
        EventRelay.RelayedEvents relayed = relay.feed(part, position);
        broken = relayed.isBroken();
        return relayed;
    }

    /** Returns true once no further events of this stream may be forwarded. */
    boolean isBroken() {
        return broken;
    }

    /** Returns true for a stream that is only forwarded once it is complete. */
    boolean isBuffered() {
        return buffer != null;
    }

    /** Buffers events; returns false if they are too large or no further events may follow them. */
    boolean buffer(byte[] events) {
        return buffer.append(ByteBuffer.wrap(events)) && !broken;
    }

    /** Returns the buffered events, if any; no other attempt can resume after them because the client lacks them. */
    Optional<byte[]> bufferedEvents() {
        return hasBufferedEvents() ? Optional.of(buffer.toByteArray()) : Optional.empty();
    }

    /** Returns true if there are buffered events, which the client does not have yet. */
    boolean hasBufferedEvents() {
        return buffer != null && !buffer.isEmpty();
    }

    /** Returns true if the stream may end here as complete: it has events and ends at an event boundary. */
    boolean isComplete(boolean committed) {
        return !relay.hasPartialEvent() && (committed || hasBufferedEvents());
    }
}
