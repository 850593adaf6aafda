package ringspindle.proxy;

import java.util.Optional;

/**
 * Position of the client's event stream, over all attempts of its request. An event may be forwarded only if its id
 * follows the previous one, so ids increase by one without gaps or duplicates, whichever engines the events come from.
 *
 * <p>The first id of a stream is not known in advance: the first id that an engine sends is accepted, unless the client
 * named the last event that it received. Not thread safe.
 */
final class StreamPosition {
    private static final long UNKNOWN = -1;

    private long lastId;
    private long weightVersion = UNKNOWN;
    private boolean unnumberedSinceLastId;

    private StreamPosition(long lastId) {
        this.lastId = lastId;
    }

    /** Returns the position after {@code lastEventId}; before the first event if that is null or not a number. */
    static StreamPosition after(String lastEventId) {
        if (lastEventId == null) {
            return new StreamPosition(UNKNOWN);
        }
        try {
            return new StreamPosition(Math.max(UNKNOWN, Long.parseLong(lastEventId.trim())));
        } catch (NumberFormatException notANumber) {
            return new StreamPosition(UNKNOWN);
        }
    }

    /** Advances past the event; returns false if neither it nor anything after it may be forwarded. */
    boolean advance(StreamEvent event) {
        if (event.id() == StreamEvent.INVALID_ID) {
            return false;
        }
        if (event.id() == StreamEvent.NO_ID) {
            unnumberedSinceLastId |= event.hasData();
        } else {
            if (lastId != UNKNOWN && event.id() != lastId + 1) {
                return false;
            }
            lastId = event.id();
            unnumberedSinceLastId = false;
        }
        if (event.weightVersion() != StreamEvent.NO_VERSION) {
            weightVersion = event.weightVersion();
        }
        return true;
    }

    /** Records the weight version from the headers of the first attempt's response; null if they have none. */
    void recordWeightVersion(String weightVersions) {
        parseVersion(weightVersions).ifPresent(version -> weightVersion = version);
    }

    /** Returns true if a response whose headers have these weight versions, or null, may resume this stream. */
    boolean isCompatibleWith(String weightVersions) {
        Optional<Long> version = parseVersion(weightVersions);
        return version.isEmpty() || weightVersion == UNKNOWN || version.get() == weightVersion;
    }

    /** Returns true if another engine can be told where to resume: not after an event with data but without an id. */
    boolean isResumable() {
        return lastId != UNKNOWN && !unnumberedSinceLastId;
    }

    /** Returns the id of the last event that was forwarded or named by the client; negative if there is none. */
    long lastId() {
        return lastId;
    }

    /** Returns the version of the model weights that produced the last event; negative if unknown. */
    long weightVersion() {
        return weightVersion;
    }

    private static Optional<Long> parseVersion(String text) {
        if (text == null) {
            return Optional.empty();
        }
        try {
            return Optional.of(Long.parseLong(text.trim()));
        } catch (NumberFormatException notANumber) {
            return Optional.empty();
        }
    }
}
