package ringspindle.transport;

import java.util.concurrent.Executor;
import org.eclipse.jetty.util.thread.Scheduler;
import ringspindle.protocol.Message;
import ringspindle.protocol.NodeId;

/** Wires to other nodes of the system. */
public interface Mesh extends AutoCloseable {

    /** Told of what comes over the wires; called from pool threads. */
    interface Listener {
        /** A wire stands and its peer has said who it is. */
        void opened(Message.Hello peer);

        /** A message came. */
        void heard(NodeId from, Message m);

        /** The wire to that node is gone. */
        void closed(NodeId peer);
    }

    /** Listens and allows dialling; {@code mesh.open(ear)} comes before all else. */
    void open(Listener ear) throws Exception;

    /** Dials unless a wire stands or is being dialled; {@code mesh.dial(NodeId.of("10.0.0.2:7720"))}. */
    void dial(NodeId peer);

    /** Sends if a wire stands, else drops; {@code mesh.send(peer, new Message.Relearn(1))}. */
    void send(NodeId peer, Message m);

    /** True while a wire to that node stands; {@code if (!mesh.up(peer)) mesh.dial(peer);}. */
    boolean up(NodeId peer);

    /** Cuts the wire to that node; {@code mesh.drop(peer)} after a silence. */
    void drop(NodeId peer);

    @Override
    void close();

    /** {@code Mesh.create(hello, pool, beats)} speaks for the node that the hello names. */
    static Mesh create(Message.Hello self, Executor pool, Scheduler beats) {
        return new JettyMesh(self, pool, beats);
    }
}
