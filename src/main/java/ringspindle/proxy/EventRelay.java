package ringspindle.proxy;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Optional;

/** Filters the event stream of one engine for the events that may be forwarded to the client. Not thread safe. */
final class EventRelay {
    /**
     * The events of one part of the stream that may be forwarded.
     *
     * @param events the bytes of complete events in sequence, empty if there are none
     * @param isBroken whether nothing after these events may be forwarded
     * @param outOfOrder the event that broke the sequence, if that is the reason
     */
    record RelayedEvents(byte[] events, boolean isBroken, Optional<StreamEvent> outOfOrder) {}

    private final EventSplitter splitter = new EventSplitter();

    /** Takes a part of the stream and advances the position past the events that may be forwarded. */
    RelayedEvents feed(ByteBuffer part, StreamPosition position) {
        ByteArrayOutputStream inSequence = new ByteArrayOutputStream(part.remaining());
        try {
            for (StreamEvent event : splitter.feed(part)) {
                if (!position.advance(event)) {
                    return new RelayedEvents(inSequence.toByteArray(), true, Optional.of(event));
                }
                inSequence.writeBytes(event.bytes());
            }
        } catch (EventSplitter.OversizedEventException oversized) {
            return new RelayedEvents(inSequence.toByteArray(), true, Optional.empty());
        }
        return new RelayedEvents(inSequence.toByteArray(), false, Optional.empty());
    }

    /** Returns true while bytes of an incomplete event are buffered. */
    boolean hasPartialEvent() {
        return splitter.hasPartialEvent();
    }
}
