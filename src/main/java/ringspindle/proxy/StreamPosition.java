package ringspindle.proxy;

import java.util.Optional;

/**
 * How far the client's event stream has come, over all attempts of its request. An event may be passed on only if it
 * follows the one before it; so ids rise by one, with none missing or twice, whichever engines the events come from.
 *
 * <p>The first id of a stream is not known beforehand: whatever the first engine begins with is taken for it, unless the
 * client named the last event that it has. Not thread safe.
 */
final class StreamPosition {
    private static final long UNKNOWN = -1;

    private long lastId;
    private long weightVersion = UNKNOWN;
    private boolean unnumberedSinceLastId;

    private StreamPosition(long lastId) {
        this.lastId = lastId;
    }

    /** Behind the event of that {@code Last-Event-Id}; before the first event if it is null or no number. */
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

    /** Moves past that event if it follows; false if it must not be passed on, nor anything behind it. */
    boolean advance(StreamEvent event) {
        if (event.id() == StreamEvent.UNREADABLE_ID) {
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

    /** Notes the weights that the head of a first run names; null if it names none. */
    void recordWeightVersion(String weightVersions) {
        readVersion(weightVersions).ifPresent(version -> weightVersion = version);
    }

    /** True if a run whose head names those weights, or none, may go on where this stream stands. */
    boolean isCompatibleWith(String weightVersions) {
        Optional<Long> version = readVersion(weightVersions);
        return version.isEmpty() || weightVersion == UNKNOWN || version.get() == weightVersion;
    }

    /** True if another engine can be told where to go on: an event without an id leaves that open. */
    boolean isResumable() {
        return lastId != UNKNOWN && !unnumberedSinceLastId;
    }

    /** The id of the last event passed on or named by the client; negative if there is none. */
    long lastId() {
        return lastId;
    }

    /** The version of the weights that made the last event; negative if it is not known. */
    long weightVersion() {
        return weightVersion;
    }

    private static Optional<Long> readVersion(String text) {
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
