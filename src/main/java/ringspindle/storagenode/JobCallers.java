package ringspindle.storagenode;

import java.util.HashMap;
import java.util.Map;
import ringspindle.protocol.BatchMessage.JobReply;
import ringspindle.protocol.JobStatus;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeId;
import ringspindle.transport.Mesh;

/**
 * The connections over which data nodes send calls about jobs. A reply belongs to the connection that its call came over: the
 * process behind a later connection from the same address may use the same call ids. Confined to the lock of {@link ShardHost}.
 */
final class JobCallers {
    /** One connection of a caller. */
    private static final class CallerConnection {
        /** The process behind it. */
        final long life;

        boolean open = true;

        CallerConnection(long life) {
            this.life = life;
        }
    }

    /** The reply to one call; dropped if the call's connection is gone. */
    private final class ConnectionReply implements HostedShard.Reply {
        private final NodeId caller;
        private final CallerConnection connection;
        private final long callId;

        /** {@code connection} is null if it is gone already. */
        ConnectionReply(NodeId caller, CallerConnection connection, long callId) {
            this.caller = caller;
            this.connection = connection;
            this.callId = callId;
        }

        @Override
        public void send(JobStatus status, byte[] body) {
            if (isWanted()) {
                // a later process may be connected already, before this table was told
                mesh.send(caller, connection.life, new JobReply(callId, status.code(), body));
            }
        }

        @Override
        public boolean isWanted() {
            return connection != null && connection.open;
        }
    }

    private final Mesh mesh;
    private final Map<NodeId, CallerConnection> connections = new HashMap<>();

    JobCallers(Mesh mesh) {
        this.mesh = mesh;
    }

    /** A new connection to that process stands; an earlier one is over. */
    void opened(Hello caller) {
        closed(caller.node());
        connections.put(caller.node(), new CallerConnection(caller.life()));
    }

    /** The connection to that node is gone. */
    void closed(NodeId caller) {
        CallerConnection earlier = connections.remove(caller);
        if (earlier != null) {
            earlier.open = false;
        }
    }

    /** The reply to a call that came over the connection that stands now; nobody wants it if none does. */
    HostedShard.Reply reply(NodeId caller, long callId) {
        return new ConnectionReply(caller, connections.get(caller), callId);
    }
}
