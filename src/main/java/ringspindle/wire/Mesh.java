package ringspindle.wire;

import java.util.concurrent.Executor;
import org.eclipse.jetty.util.thread.Scheduler;

/** Wires to other nodes of the system. */
public interface Mesh extends AutoCloseable {

    /** Told of what comes over the wires; called from pool threads. */
    interface Ear {
        /** A wire stands and its peer has said who it is. */
        void opened(Msg.Hello peer);

        /** A message came. */
        void heard(NodeId from, Msg m);

        /** The wire to that node is gone. */
        void closed(NodeId peer);
    }

    /** Listens and allows dialling; {@code mesh.open(ear)} comes before all else. */
    void open(Ear ear) throws Exception;

    /** Dials unless a wire stands or is being dialled; {@code mesh.dial(NodeId.of("10.0.0.2:7720"))}. */
    void dial(NodeId peer);

    /** Sends if a wire stands, else drops; {@code mesh.send(peer, new Msg.Relearn(1))}. */
    void send(NodeId peer, Msg m);

    /** True while a wire to that node stands; {@code if (!mesh.up(peer)) mesh.dial(peer);}. */
    boolean up(NodeId peer);

    /** Cuts the wire to that node; {@code mesh.drop(peer)} after a silence. */
    void drop(NodeId peer);

    @Override
    void close();

    /** {@code Mesh.create(hello, pool, beats)} speaks for the node that the hello names. */
    static Mesh create(Msg.Hello self, Executor pool, Scheduler beats) {
        return new JettyMesh(self, pool, beats);
    }
}
