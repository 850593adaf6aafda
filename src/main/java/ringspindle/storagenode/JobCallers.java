package ringspindle.storagenode;

import java.util.HashMap;
import java.util.Map;
import ringspindle.protocol.BatchMessage.JobReply;
import ringspindle.protocol.JobStatus;
import ringspindle.protocol.NodeId;
import ringspindle.transport.Mesh;

/**
 * The connections over which data nodes send calls about jobs. A reply belongs to the connection that its call came over: the
 * process behind a later connection from the same address may use the same call ids. Confined to the lock of {@link ShardHost}.
 */
final class JobCallers {
    /** One connection of a caller. */
    private static final class CallerConnection {
        boolean open = true;
    }

    /** The reply to one call; dropped if the call's connection is gone. */
    private final class ConnectionReply implements HostedShard.Reply {
        private final NodeId caller;
        private final CallerConnection connection;
        private final long callId;

        ConnectionReply(NodeId caller, CallerConnection connection, long callId) {
            this.caller = caller;
            this.connection = connection;
            this.callId = callId;
        }

        @Override
        public void send(JobStatus status, byte[] body) {
            if (connection.open) {
                mesh.send(caller, new JobReply(callId, status.code(), body));
            }
        }

        @Override
        public boolean isWanted() {
            return connection.open;
        }
    }

    private final Mesh mesh;
    private final Map<NodeId, CallerConnection> connections = new HashMap<>();

    JobCallers(Mesh mesh) {
        this.mesh = mesh;
    }

    /** A new connection to that node stands; an earlier one is over. */
    void opened(NodeId caller) {
        closed(caller);
        connections.put(caller, new CallerConnection());
    }

    /** The connection to that node is gone. */
    void closed(NodeId caller) {
        CallerConnection earlier = connections.remove(caller);
        if (earlier != null) {
            earlier.open = false;
        }
    }

    /** The reply to a call that came over the connection that stands now. */
    HostedShard.Reply reply(NodeId caller, long callId) {
        CallerConnection connection = connections.computeIfAbsent(caller, unknown -> new CallerConnection());
        return new ConnectionReply(caller, connection, callId);
    }
}
