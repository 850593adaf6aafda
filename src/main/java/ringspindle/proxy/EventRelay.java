package ringspindle.proxy;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Optional;

/** Takes the bytes of one engine's stream and gives those of the events that may be passed on. Not thread safe. */
final class EventRelay {
    /**
     * What may be passed on of a part of the stream.
     *
     * @param events the bytes of whole events that follow each other, empty if there are none
     * @param isBroken nothing behind these may be passed on
     * @param outOfOrder the event that does not follow, if that is why
     */
    record Passage(byte[] events, boolean isBroken, Optional<StreamEvent> outOfOrder) {}

    private final EventSplitter splitter = new EventSplitter();

    /** Takes a part of the stream and moves the position past the events that may be passed on. */
    Passage feed(ByteBuffer part, StreamPosition position) {
        ByteArrayOutputStream following = new ByteArrayOutputStream(part.remaining());
        try {
            for (StreamEvent event : splitter.feed(part)) {
                if (!position.advance(event)) {
                    return new Passage(following.toByteArray(), true, Optional.of(event));
                }
                following.writeBytes(event.bytes());
            }
        } catch (EventSplitter.OversizedEventException oversized) {
            return new Passage(following.toByteArray(), true, Optional.empty());
        }
        return new Passage(following.toByteArray(), false, Optional.empty());
    }

    /** True while bytes of an event that is not whole are held. */
    boolean hasPartialEvent() {
        return splitter.hasPartialEvent();
    }
}
