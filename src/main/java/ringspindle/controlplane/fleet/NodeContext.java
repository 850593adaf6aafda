package ringspindle.controlplane.fleet;

import java.util.concurrent.Executor;
import java.util.function.Supplier;
import ringspindle.config.NodeConfig;
import ringspindle.protocol.NodeId;
import ringspindle.time.MonotonicClock;
import ringspindle.transport.Mesh;

/**
 * What the parts of a control node work with. Without state of its own.
 *
 * @param self this node's identity among nodes
 * @param settings the settings in force, which may change while running
 * @param mesh connections to other nodes; sending only queues
 * @param executor runs what must not hold up the caller
 */
public record NodeContext(
        NodeId self, Supplier<NodeConfig> settings, MonotonicClock clock, Mesh mesh, Executor executor) {
    /** The settings in force. */
    public NodeConfig config() {
        return settings.get();
    }

    /** The time in milliseconds. */
    public long nowMs() {
        return clock.nowMs();
    }
}
