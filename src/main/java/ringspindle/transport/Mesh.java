package ringspindle.transport;

import java.util.concurrent.Executor;
import org.eclipse.jetty.util.thread.Scheduler;
import ringspindle.protocol.Message;
import ringspindle.protocol.NodeId;

/**
 * Connections to the other nodes of the system, one for each peer at most. Messages over one connection arrive in
 * order, but that heartbeats overtake all others, and counters are overtaken by them; those that were on their way when it
 * ended are lost. Thread safe.
 */
public interface Mesh extends AutoCloseable {

    /** Notified of what comes over the connections, from pool threads; calls for one connection come one at a time. */
    interface Listener {
        /** A connection stands and its peer has said who it is; it takes the place of an earlier one. */
        void opened(Message.Hello peer);

        /** A message came. */
        void received(NodeId from, Message message);

        /**
         * The connection to that node is gone, and none had taken its place. One may have by the time this is handled: who
         * keeps a session for each peer asks {@link Mesh#connected} under the lock that guards it.
         */
        void closed(NodeId peer);
    }

    /** Listens at the node's address and allows dialling; comes before all else. Throws if the address cannot be bound. */
    void open(Listener listener) throws Exception;

    /** Dials unless a connection stands or is being dialled; a failure changes nothing. */
    void dial(NodeId peer);

    /** Sends if a connection stands, else drops the message. */
    void send(NodeId peer, Message message);

    /**
     * Sends if the connection to that process of the node stands, else drops the message: for an answer that a later process at the
     * address must not get.
     *
     * @param life the incarnation of the process, as in its greeting
     */
    void send(NodeId peer, long life, Message message);

    /** Bytes that wait to be sent to that node, 0 without a connection; what is large is better not sent again meanwhile. */
    int pendingBytes(NodeId peer);

    /** True while a connection to that node stands; {@code if (!mesh.connected(peer)) mesh.dial(peer);}. */
    boolean connected(NodeId peer);

    /** Closes the connection to that node, as after a silence. */
    void drop(NodeId peer);

    /** Ends all connections. */
    @Override
    void close();

    /**
     * A mesh over TCP that speaks for the node that the greeting names.
     *
     * @param bindIp the address to listen at, which may be another one than peers dial
     * @param pool a Jetty thread pool
     */
    static Mesh create(Message.Hello self, String bindIp, Executor pool, Scheduler scheduler) {
        return new JettyMesh(self, bindIp, pool, scheduler);
    }
}
