package ringspindle.soak;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import ringspindle.protocol.Codec;
import ringspindle.protocol.Message.Hello;
import ringspindle.soak.SoakTopology.Node;

/**
 * Carries all connections between nodes: it listens where nodes dial each other, and the nodes behind it. Across a cut nothing
 * passes, not even the end of a connection, until the cut heals.
 */
final class SoakRelay implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 << 10;
    private static final long LOOK_NS = TimeUnit.MILLISECONDS.toNanos(10);

    /** Nothing passes between these addresses and all others until that time. */
    private record Cut(Set<String> side, long untilNs) {
        boolean separates(String one, String other) {
            return System.nanoTime() < untilNs && side.contains(one) != side.contains(other);
        }
    }

    private final List<ServerSocket> listeners = new ArrayList<>();
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    private volatile Cut cut = new Cut(Set.of(), 0);
    private volatile boolean closed;

    SoakRelay(SoakTopology topology) throws IOException {
        List<Node> nodes = new ArrayList<>(topology.controlNodes());
        nodes.addAll(topology.dataNodes());
        for (Node node : nodes) {
            ServerSocket listener = new ServerSocket(node.peerPort(), 50, InetAddress.getByName(node.ip()));
            listeners.add(listener);
            threads.execute(() -> accept(listener, node));
        }
    }

    /** Cuts the nodes at these addresses off from all others. */
    void cut(Set<String> side, int forMs) {
        cut = new Cut(side, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(forMs));
    }

    private void accept(ServerSocket listener, Node target) {
        try {
            while (!closed) {
                Socket dialler = listener.accept();
                threads.execute(() -> connect(dialler, target));
            }
        } catch (IOException ended) {
            // closed
        }
    }

    /** The first frame says who dials; only then it is known whether a cut lies between. */
    private void connect(Socket dialler, Node target) {
        try {
            DataInputStream in = new DataInputStream(dialler.getInputStream());
            byte[] greeting = new byte[in.readInt()];
            in.readFully(greeting);
            String from = ((Hello) Codec.decode(greeting)).node().ip();
            awaitPassage(from, target.ip());
            Socket node = new Socket(target.bindIp(), target.peerPort());
            OutputStream out = node.getOutputStream();
            out.write(new byte[] {0, 0, (byte) (greeting.length >> 8), (byte) greeting.length});
            out.write(greeting);
            threads.execute(() -> pump(dialler, node, from, target.ip()));
            threads.execute(() -> pump(node, dialler, target.ip(), from));
        } catch (IOException refused) {
            closeQuietly(dialler);
        }
    }

    private void pump(Socket from, Socket to, String sender, String receiver) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                awaitPassage(sender, receiver);
                to.getOutputStream().write(buffer, 0, read);
            }
        } catch (IOException broken) {
            // as if it had ended
        }
        awaitPassage(sender, receiver);
        closeQuietly(from);
        closeQuietly(to);
    }

    private void awaitPassage(String sender, String receiver) {
        while (!closed && cut.separates(sender, receiver)) {
            LockSupport.parkNanos(LOOK_NS);
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException gone) {
            // closed already
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        for (ServerSocket listener : listeners) {
            listener.close();
        }
        threads.shutdownNow();
    }
}
