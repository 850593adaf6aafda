package ringspindle.transport;

import com.google.common.flogger.FluentLogger;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.io.ClientConnectionFactory;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.Transport;
import org.eclipse.jetty.server.AbstractConnectionFactory;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.Scheduler;
import org.eclipse.jetty.util.thread.ThreadPool;
import ringspindle.peering.ConnectionTable;
import ringspindle.protocol.Codec;
import ringspindle.protocol.FrameException;
import ringspindle.protocol.Message;
import ringspindle.protocol.NodeId;

/** Connections to other nodes over Jetty's end points; accepts them at the node's address, and dials. */
final class JettyMesh implements Mesh {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** Refused frames are counted, and one of them is logged in so many seconds. */
    private static final int LOG_EVERY_S = 10;

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(800);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);
    /** Buffers are kept from 0 bytes up to this size in steps of this, at most so many a size and so much in all. */
    private static final int BUFFER_STEP = 4096;

    private static final int BUFFER_MAX = 65536;
    private static final int BUFFERS_A_SIZE = 64;
    private static final int BUFFER_BYTES_MAX = 1 << 20;

    /** A message and its bytes, which nobody changes. */
    private record Encoded(Message message, byte[] bytes) {}

    private final Message.Hello self;
    private final String bindIp;
    private final Executor pool;
    private final Scheduler scheduler;
    private final ConnectionTable<FrameConnection> connections;
    private final ClientConnector dialler = new PlainConnector();
    private final Map<FrameException.Reason, LongAdder> refused = new EnumMap<>(FrameException.Reason.class);
    private final FrameConnection.Owner owner = new ConnectionOwner();
    /** The message that was sent last. */
    private volatile Encoded lastEncoded;

    private Server server;
    private volatile Listener listener;

    /** {@code pool} is a Jetty thread pool. */
    JettyMesh(Message.Hello self, String bindIp, Executor pool, Scheduler scheduler) {
        this.self = self;
        this.bindIp = bindIp;
        this.pool = pool;
        this.scheduler = scheduler;
        connections = new ConnectionTable<>(self.node());
        for (FrameException.Reason reason : FrameException.Reason.values()) {
            refused.put(reason, new LongAdder());
        }
    }

    /** How many connections were closed for what came over them. */
    long refused(FrameException.Reason reason) {
        return refused.get(reason).sum();
    }

    @Override
    public void open(Listener listener) throws Exception {
        this.listener = listener;
        ByteBufferPool buffers =
                new ArrayByteBufferPool(0, BUFFER_STEP, BUFFER_MAX, BUFFERS_A_SIZE, BUFFER_BYTES_MAX, BUFFER_BYTES_MAX);
        startDialler(buffers);
        startServer(buffers);
    }

    private void startDialler(ByteBufferPool buffers) throws Exception {
        dialler.setExecutor(pool);
        dialler.setScheduler(scheduler);
        dialler.setByteBufferPool(buffers);
        dialler.setSelectors(1);
        dialler.setConnectTimeout(CONNECT_TIMEOUT);
        dialler.setIdleTimeout(IDLE_TIMEOUT);
        dialler.start();
    }

    private void startServer(ByteBufferPool buffers) throws Exception {
        server = new Server((ThreadPool) pool, scheduler, buffers);
        ServerConnector connector =
                new ServerConnector(server, pool, scheduler, buffers, 0, 1, new AcceptedConnectionFactory());
        connector.setHost(bindIp);
        connector.setPort(self.node().port());
        connector.setIdleTimeout(IDLE_TIMEOUT.toMillis());
        server.addConnector(connector);
        server.start();
    }

    @Override
    public void dial(NodeId peer) {
        if (!connections.beginDial(peer)) {
            return;
        }
        ClientConnectionFactory factory = (endPoint, context) -> new FrameConnection(endPoint, pool, peer, owner);
        Promise<Connection> dialled = Promise.from(connection -> {}, failure -> {
            connections.dialFailed(peer);
            LOG.atFine().withCause(failure).log("cannot dial %s", peer);
        });
        Map<String, Object> context = new HashMap<>();
        context.put(Transport.class.getName(), Transport.TCP_IP);
        context.put(ClientConnectionFactory.CONTEXT_KEY, factory);
        context.put(ClientConnector.CONNECTION_PROMISE_CONTEXT_KEY, dialled);
        dialler.connect(new InetSocketAddress(peer.ip(), peer.port()), context);
    }

    @Override
    public void send(NodeId peer, Message message) {
        send(connections.get(peer), message);
    }

    @Override
    public void send(NodeId peer, long life, Message message) {
        send(connections.get(peer, life), message);
    }

    private void send(FrameConnection connection, Message message) {
        if (connection != null) {
            connection.send(message, encoded(message));
        }
    }

    /** The message as bytes; one that goes to many peers, one after the other, is encoded once. */
    private byte[] encoded(Message message) {
        Encoded last = lastEncoded;
        if (last == null || last.message() != message) {
            last = new Encoded(message, Codec.encode(message));
            lastEncoded = last;
        }
        return last.bytes();
    }

    @Override
    public int pendingBytes(NodeId peer) {
        FrameConnection connection = connections.get(peer);
        return connection == null ? 0 : connection.pendingBytes();
    }

    @Override
    public boolean connected(NodeId peer) {
        return connections.get(peer) != null;
    }

    @Override
    public void drop(NodeId peer) {
        FrameConnection connection = connections.get(peer);
        if (connection != null) {
            connection.close();
        }
    }

    @Override
    public void close() {
        LifeCycles.stopQuietly(dialler);
        LifeCycles.stopQuietly(server);
    }

    /** Makes the connections that peers dialled. */
    private final class AcceptedConnectionFactory extends AbstractConnectionFactory {
        AcceptedConnectionFactory() {
            super("frames");
        }

        @Override
        public Connection newConnection(Connector connector, EndPoint endPoint) {
            return new FrameConnection(endPoint, pool, null, owner);
        }
    }

    /** Keeps the table of connections, and notifies the listener with no lock held. */
    private final class ConnectionOwner implements FrameConnection.Owner {
        @Override
        public Message.Hello greeting() {
            return self;
        }

        @Override
        public void opened(FrameConnection connection) {
            connections.opened(connection, connection.dialled());
            scheduler.schedule(
                    () -> {
                        if (connections.awaitsGreeting(connection)) {
                            pool.execute(connection::close);
                        }
                    },
                    ConnectionTable.GREETING_MS,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void greeted(FrameConnection connection, Message.Hello peer) {
            ConnectionTable.Admission<FrameConnection> admission = connections.greeted(connection, peer);
            if (!admission.admitted()) {
                connection.close();
                return;
            }
            connection.admit(peer);
            admission.replaced().ifPresent(FrameConnection::close);
            listener.opened(peer);
        }

        @Override
        public void received(FrameConnection connection, Message message) {
            // two connections are read by two threads, so the listener may know of the later process already
            if (!connections.isOutlived(connection)) {
                listener.received(connection.peerNode(), message);
            }
        }

        @Override
        public void refused(FrameConnection connection, FrameException reason) {
            refused.get(reason.reason()).increment();
            LOG.atWarning().atMostEvery(LOG_EVERY_S, TimeUnit.SECONDS).log(
                    "connection of %s at %s is closed: %s, %s so far",
                    connection.peerNode(),
                    connection.getEndPoint().getRemoteSocketAddress(),
                    reason.getMessage(),
                    JettyMesh.this.refused(reason.reason()));
        }

        @Override
        public void closed(FrameConnection connection) {
            connections.closed(connection, connection.dialled()).ifPresent(listener::closed);
        }
    }
}
