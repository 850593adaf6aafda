package ringspindle.transport;

import com.google.common.flogger.FluentLogger;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.eclipse.jetty.io.AbstractConnection;
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
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import ringspindle.protocol.Codec;
import ringspindle.protocol.FrameException;
import ringspindle.protocol.Message;
import ringspindle.protocol.NodeId;

/** Frames (length, SBE) over Jetty's endpoints. */
final class JettyMesh implements Mesh {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int FRAME_MAX = 48 << 20;
    /** Who has not said who it is gets no more room than that takes. */
    private static final int HELLO_MAX = 4096;
    /** Refused frames are counted, and one of them is logged in so many seconds. */
    private static final int LOG_EVERY_S = 10;

    private static final int BACKLOG_MAX = 32 << 20;

    private final Message.Hello self;
    private final Executor pool;
    private final org.eclipse.jetty.util.thread.Scheduler beats;
    private final Map<NodeId, FrameWire> wires = new ConcurrentHashMap<>();
    private final Set<NodeId> dialling = ConcurrentHashMap.newKeySet();
    private final ClientConnector dialer = new PlainConnector();
    private final Map<FrameException.Reason, LongAdder> refused = new EnumMap<>(FrameException.Reason.class);
    private Server server;
    private volatile Listener ear;

    JettyMesh(Message.Hello self, Executor pool, org.eclipse.jetty.util.thread.Scheduler beats) {
        this.self = self;
        this.pool = pool;
        this.beats = beats;
        for (FrameException.Reason r : FrameException.Reason.values()) {
            refused.put(r, new LongAdder());
        }
    }

    /** How many connections were closed for what came over them. */
    long refused(FrameException.Reason reason) {
        return refused.get(reason).sum();
    }

    @Override
    public void open(Listener ear) throws Exception {
        this.ear = ear;
        ByteBufferPool buffers = new ArrayByteBufferPool(0, 4096, 65536, 64, 1 << 20, 1 << 20);
        dialer.setExecutor(pool);
        dialer.setScheduler(beats);
        dialer.setByteBufferPool(buffers);
        dialer.setSelectors(1);
        dialer.setConnectTimeout(Duration.ofMillis(800));
        dialer.setIdleTimeout(Duration.ofSeconds(30));
        dialer.start();
        server = new Server((org.eclipse.jetty.util.thread.ThreadPool) pool, beats, buffers);
        ServerConnector c = new ServerConnector(server, pool, beats, buffers, 0, 1, new Factory());
        c.setHost(self.node().ip());
        c.setPort(self.node().port());
        c.setIdleTimeout(30000);
        server.addConnector(c);
        server.start();
    }

    @Override
    public void dial(NodeId peer) {
        if (wires.containsKey(peer) || !dialling.add(peer)) {
            return;
        }
        Map<String, Object> context = new HashMap<>();
        context.put(Transport.class.getName(), Transport.TCP_IP);
        context.put(
                ClientConnectionFactory.CONTEXT_KEY, (ClientConnectionFactory) (ep, ctx) -> new FrameWire(ep, peer));
        context.put(ClientConnector.CONNECTION_PROMISE_CONTEXT_KEY, Promise.from(x -> {}, x -> {
            dialling.remove(peer);
            LOG.atFine().withCause(x).log("cannot dial %s", peer);
        }));
        dialer.connect(new InetSocketAddress(peer.ip(), peer.port()), context);
    }

    @Override
    public void send(NodeId peer, Message m) {
        FrameWire w = wires.get(peer);
        if (w != null) {
            w.send(m);
        }
    }

    @Override
    public boolean up(NodeId peer) {
        return wires.containsKey(peer);
    }

    @Override
    public void drop(NodeId peer) {
        FrameWire w = wires.get(peer);
        if (w != null) {
            w.close();
        }
    }

    @Override
    public void close() {
        LifeCycles.stopQuietly(dialer);
        LifeCycles.stopQuietly(server);
    }

    private final class Factory extends AbstractConnectionFactory {
        Factory() {
            super("frames");
        }

        @Override
        public Connection newConnection(Connector connector, EndPoint endPoint) {
            return new FrameWire(endPoint, null);
        }
    }

    /** One wire; reads frames, writes them in order. */
    private final class FrameWire extends AbstractConnection {
        private final NodeId dialled;
        private volatile NodeId peer;
        private volatile long peerLife;
        private ByteBuffer in = ByteBuffer.allocate(8192);
        private final ArrayDeque<ByteBuffer> out = new ArrayDeque<>();
        private int backlog;
        private boolean writing;

        FrameWire(EndPoint ep, NodeId dialled) {
            super(ep, pool);
            this.dialled = dialled;
        }

        @Override
        public void onOpen() {
            super.onOpen();
            fillInterested();
            send(self);
        }

        void send(Message m) {
            byte[] body = Codec.encode(m);
            ByteBuffer frame = ByteBuffer.allocate(4 + body.length)
                    .putInt(body.length)
                    .put(body)
                    .flip();
            boolean start;
            synchronized (out) {
                backlog += frame.remaining();
                if (backlog > BACKLOG_MAX) {
                    start = false;
                } else {
                    out.add(frame);
                    start = !writing;
                    writing = true;
                }
            }
            if (backlog > BACKLOG_MAX) {
                close();
            } else if (start) {
                writeNext();
            }
        }

        private void writeNext() {
            ByteBuffer[] batch;
            synchronized (out) {
                if (out.isEmpty()) {
                    writing = false;
                    return;
                }
                batch = out.toArray(new ByteBuffer[0]);
                out.clear();
                backlog = 0;
            }
            getEndPoint().write(Callback.from(this::writeNext, x -> close()), batch);
        }

        @Override
        public void onFillable() {
            try {
                while (true) {
                    if (!in.hasRemaining()) {
                        in = ByteBuffer.allocate(in.capacity() * 2).put(in.flip());
                    }
                    // fill() wants flush mode: position..limit is data
                    ByteBuffer slice = in.slice().limit(0);
                    int n = getEndPoint().fill(slice);
                    if (n < 0) {
                        close();
                        return;
                    }
                    if (n == 0) {
                        fillInterested();
                        return;
                    }
                    in.position(in.position() + n);
                    take();
                }
            } catch (FrameException x) {
                refused.get(x.reason()).increment();
                LOG.atWarning().atMostEvery(LOG_EVERY_S, TimeUnit.SECONDS).log(
                        "connection of %s at %s is closed: %s, %s so far",
                        peer, getEndPoint().getRemoteSocketAddress(), x.getMessage(), refused(x.reason()));
                close();
            } catch (Throwable x) {
                LOG.atFine().withCause(x).log("wire to %s fails", peer);
                close();
            }
        }

        private void take() {
            in.flip();
            while (in.remaining() >= 4) {
                int length = in.getInt(in.position());
                if (length < 0 || length > (peer == null ? HELLO_MAX : FRAME_MAX)) {
                    throw new FrameException(FrameException.Reason.OVERSIZED, "frame of " + length);
                }
                if (in.remaining() < 4 + length) {
                    if (in.capacity() < 4 + length) {
                        in = ByteBuffer.allocate(4 + length + 4096).put(in);
                        return;
                    }
                    break;
                }
                in.getInt();
                byte[] body = new byte[length];
                in.get(body);
                heard(Codec.decode(body));
            }
            in.compact();
        }

        private void heard(Message m) {
            if (peer == null) {
                if (!(m instanceof Message.Hello h)) {
                    throw new FrameException(
                            FrameException.Reason.NO_HELLO, m.getClass().getSimpleName());
                }
                FrameWire old;
                synchronized (wires) {
                    peerLife = h.life();
                    old = wires.get(h.node());
                    if (old != null && old != this && old.peerLife > peerLife) {
                        // a late connection of a process that is gone; should it be the clock that went back, the one
                        // that
                        // stands ends with its process or by its silence, and the next to dial gets through
                        throw new FrameException(FrameException.Reason.EARLIER_LIFE, h.name() + " of life " + peerLife);
                    }
                    if (old != null
                            && old != this
                            && old.peerLife == peerLife
                            && old.byLower(h.node())
                            && !byLower(h.node())) {
                        // both dialled at once: both keep the wire of the lower address
                        close();
                        return;
                    }
                    peer = h.node();
                    wires.put(peer, this);
                }
                if (dialled != null) {
                    dialling.remove(dialled);
                }
                if (old != null && old != this) {
                    old.close();
                }
                ear.opened(h);
            } else {
                ear.heard(peer, m);
            }
        }

        /** True if the lower of the two addresses dialled this wire. */
        private boolean byLower(NodeId other) {
            return dialled != null == self.node().compareTo(other) < 0;
        }

        @Override
        public void onClose(Throwable cause) {
            super.onClose(cause);
            if (dialled != null) {
                dialling.remove(dialled);
            }
            if (peer != null && wires.remove(peer, this)) {
                ear.closed(peer);
            }
        }
    }
}
