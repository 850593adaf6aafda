package ringspindle.telemetry;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.Hashing;

/**
 * Short names of engines in load summaries: a hash of the id, the same on every node. A key is a plain {@code long}, as
 * summaries of a fleet hold thousands of them and are merged several times a second.
 */
public final class EngineKey {
    private EngineKey() {}

    /** The key of the engine with that id. */
    public static long of(String engineId) {
        return Hashing.murmur3_128().hashString(engineId, UTF_8).asLong();
    }
}
