package ringspindle.controlplane.fleet;

import java.util.concurrent.Executor;
import java.util.function.Supplier;
import ringspindle.config.NodeConfig;
import ringspindle.protocol.NodeId;
import ringspindle.time.MonotonicClock;
import ringspindle.transport.Mesh;

/**
 * Dependencies that the parts of a control node share. Without state of its own.
 *
 * @param self the address that identifies this node
 * @param settings the settings in force, which may change while running
 * @param mesh connections to other nodes; sending only queues
 * @param executor runs work that must not block the caller
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
