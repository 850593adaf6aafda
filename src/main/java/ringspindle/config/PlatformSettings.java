package ringspindle.config;

import java.util.Optional;
import java.util.Set;
import ringspindle.protocol.NodeId;

/**
 * What a node is told of the platform's interface, and of the duties there.
 *
 * @param address where it is called, empty if there is none
 * @param duties names of the duties that are wanted
 * @param reportWindowS seconds of a window of reports on usage
 * @param leaseMs milliseconds within which the role that has a duty may not go back and forth
 */
public record PlatformSettings(Optional<NodeId> address, Set<String> duties, int reportWindowS, int leaseMs) {
    /** The duty to report usage. */
    public static final String METERING = "metering";

    private static final long MS_PER_S = 1000;

    /** True if that duty is wanted and there is somebody to call. */
    public boolean wants(String duty) {
        return address.isPresent() && duties.contains(duty);
    }

    /** Milliseconds of a window of reports on usage. */
    public long windowMs() {
        return reportWindowS * MS_PER_S;
    }
}
