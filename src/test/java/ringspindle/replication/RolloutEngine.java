package ringspindle.replication;

import java.util.ArrayList;
import java.util.List;

/** An engine of a {@link RolloutSimulation}. */
final class RolloutEngine {
    final String id;
    final String region;
    /** The checkpoint that it serves. */
    long weights;

    long version = 1;
    boolean down;
    /** When a swap that is under way ends, below 0 if none is. */
    long swapAtMs = -1;

    final List<RolloutTraffic.Run> running = new ArrayList<>();

    RolloutEngine(String id, String region, long weights) {
        this.id = id;
        this.region = region;
        this.weights = weights;
    }
}
