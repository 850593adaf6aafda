package ringspindle.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.ConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.server.internal.HttpConnection;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;
import ringspindle.config.FleetConfig;
import ringspindle.time.MonotonicClock;

/**
 * The end point of a client's connection, which notices that the client closes it while its request is at work. Jetty's
 * HTTP/1.1 reads nothing in that time, so this reads into a small buffer of its own and hands those bytes, which are of a
 * following request, to Jetty's parser afterwards. It also ends connections whose next head takes longer than the
 * configuration allows; of a head that came in part behind the request before, the time counts from its next bytes on.
 *
 * <p>A reset and an orderly close are not told apart here, as either way the client is gone; a request whose body is cut
 * short fails by its own framing.
 */
final class ClientEndPoint extends SocketChannelEndPoint {
    /** So many bytes of following requests are read ahead at most. */
    private static final int READ_AHEAD_MAX = 16384;

    private static final int READ_BYTES = 2048;
    /** A timer that is later than this, in ms, says that this node stood still and not that the client is slow. */
    private static final int STALL_MS = 250;

    private static final byte[] HEAD_TIMEOUT = ("HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n"
                    + "Content-Length: 0\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1);

    /** Accepts connections whose end points are of this kind. */
    static final class Connector extends ServerConnector {
        /** How long a client may take for the head of a request, in ms; default as in the configuration. */
        private volatile int headTimeoutMs = FleetConfig.Limits.DEFAULT_HEADER_MS;

        Connector(Server server, Executor pool, Scheduler scheduler, ConnectionFactory... factories) {
            super(server, pool, scheduler, null, 0, 1, factories);
        }

        /** From now on the head of a request may take so long, in ms. */
        void setHeadTimeout(int timeoutMs) {
            headTimeoutMs = timeoutMs;
        }

        @Override
        protected SocketChannelEndPoint newEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key)
                throws IOException {
            ClientEndPoint endPoint = new ClientEndPoint(channel, selector, key, getScheduler(), this);
            endPoint.setIdleTimeout(getIdleTimeout());
            return endPoint;
        }

        /** Registers the end point; a limit that was raised since it was made holds for it as well. */
        @Override
        protected void onEndPointOpened(EndPoint opened) {
            super.onEndPointOpened(opened);
            opened.setIdleTimeout(Math.max(opened.getIdleTimeout(), getIdleTimeout()));
        }
    }

    private final Connector connector;
    private final Executor pool;
    private final MonotonicClock clock = MonotonicClock.system();
    /** Guards all fields below; nothing of others is called under it but Jetty's own reading. */
    private final Object lock = new Object();
    /** Bytes that were read ahead, null if there are none. */
    private ByteBuffer readAhead;
    /** The client's side has ended. */
    private boolean ended;
    /** The watcher waits for the client's bytes. */
    private boolean watcherRegistered;
    /** Jetty's reader, where it wants to wait while the watcher is registered. */
    private Callback waitingReader;
    /** What is to be run once the client is gone, null if nobody watches. */
    private Runnable onClientGone;
    /** Where the client is with its next request. */
    private final HeadProgress head = new HeadProgress();

    private boolean headTimerSet;

    private final Callback watcher = new Callback() {
        @Override
        public void succeeded() {
            onReadable();
        }

        @Override
        public void failed(Throwable failure) {
            onFailure(failure);
        }

        @Override
        public InvocationType getInvocationType() {
            return InvocationType.NON_BLOCKING;
        }
    };

    ClientEndPoint(
            SocketChannel channel,
            ManagedSelector selector,
            SelectionKey key,
            Scheduler scheduler,
            Connector connector) {
        super(channel, selector, key, scheduler);
        this.connector = connector;
        pool = connector.getExecutor();
    }

    /** The head of a request is whole. */
    void onHead() {
        synchronized (lock) {
            head.onHead();
        }
    }

    /** The answer to the request is complete; the next one may come. */
    void onRequestEnded() {
        synchronized (lock) {
            head.onRequestEnded();
        }
    }

    /** Jetty wants more bytes: if they are of a head, its time is limited. */
    private void limitHead() {
        synchronized (lock) {
            if (!parsesHead()) {
                head.onNoHead();
            }
            if (head.isInHead() && !headTimerSet) {
                headTimerSet = true;
                scheduleHeadTimer(head.leftMs(connector.headTimeoutMs, clock.nowMs()));
            }
        }
    }

    private void scheduleHeadTimer(long inMs) {
        long dueMs = clock.nowMs() + Math.max(1, inMs);
        getScheduler().schedule(() -> onHeadTimer(dueMs), Math.max(1, inMs), TimeUnit.MILLISECONDS);
    }

    /** False where the bytes that came were the rest of an answered request, and no next one has begun. */
    private boolean parsesHead() {
        HttpParser parser = getConnection() instanceof HttpConnection http ? http.getParser() : null;
        return parser != null && parser.inHeaderState() && !parser.isStart();
    }

    private void onHeadTimer(long dueMs) {
        synchronized (lock) {
            long nowMs = clock.nowMs();
            if (nowMs - dueMs > STALL_MS) {
                head.restart(nowMs);
            }
            long leftMs = head.leftMs(connector.headTimeoutMs, nowMs);
            if (!parsesHead()) {
                head.onNoHead();
            }
            if (!head.isInHead() || !isOpen()) {
                headTimerSet = false;
                return;
            }
            if (leftMs > 0) {
                scheduleHeadTimer(leftMs);
                return;
            }
        }
        Callback closing = Callback.from(this::close);
        write(closing, ByteBuffer.wrap(HEAD_TIMEOUT));
    }

    /** From now on a close by the client runs that; the request must have been read whole. */
    void watch(Runnable clientGone) {
        boolean alreadyEnded;
        synchronized (lock) {
            onClientGone = clientGone;
            alreadyEnded = ended;
            if (!alreadyEnded && !watcherRegistered && waitingReader == null && readAhead == null) {
                watcherRegistered = true;
                super.fillInterested(watcher);
            }
        }
        if (alreadyEnded) {
            clientGone.run();
        }
    }

    /** The request is over. */
    void unwatch() {
        synchronized (lock) {
            onClientGone = null;
        }
    }

    private void onReadable() {
        Callback reader = null;
        Runnable clientGone = null;
        synchronized (lock) {
            watcherRegistered = false;
            if (waitingReader != null) {
                reader = waitingReader;
                waitingReader = null;
            } else {
                clientGone = readAheadOrEnd();
            }
        }
        if (reader != null) {
            reader.succeeded();
        }
        if (clientGone != null) {
            clientGone.run();
        }
    }

    /** Reads what has come and waits for more; returns what is to be run if that was the end, else null. */
    private Runnable readAheadOrEnd() {
        ByteBuffer bytes = BufferUtil.allocate(READ_BYTES);
        int filled;
        try {
            filled = super.fill(bytes);
        } catch (IOException closedHere) {
            filled = -1;
        }
        if (filled < 0) {
            ended = true;
            return onClientGone;
        }
        if (filled > 0) {
            keep(bytes);
        }
        if (filled == 0 || readAhead.remaining() < READ_AHEAD_MAX) {
            watcherRegistered = true;
            super.fillInterested(watcher);
        }
        return null;
    }

    private void keep(ByteBuffer bytes) {
        int before = readAhead == null ? 0 : readAhead.remaining();
        ByteBuffer all = ByteBuffer.allocate(before + bytes.remaining());
        if (readAhead != null) {
            all.put(readAhead);
        }
        readAhead = all.put(bytes).flip();
    }

    private void onFailure(Throwable failure) {
        Callback reader;
        Runnable clientGone = null;
        synchronized (lock) {
            watcherRegistered = false;
            reader = waitingReader;
            waitingReader = null;
            if (reader == null) {
                if (failure instanceof TimeoutException) {
                    // the client is idle, as it should be while it waits
                    watcherRegistered = true;
                    super.fillInterested(watcher);
                } else {
                    ended = true;
                    clientGone = onClientGone;
                }
            }
        }
        if (reader != null) {
            reader.failed(failure);
        }
        if (clientGone != null) {
            clientGone.run();
        }
    }

    /** The watcher's own waiting does not count: Jetty closes a connection whose reader seems to be left over. */
    @Override
    public boolean isFillInterested() {
        synchronized (lock) {
            return watcherRegistered ? waitingReader != null : super.isFillInterested();
        }
    }

    @Override
    public void fillInterested(Callback reader) {
        limitHead();
        if (!register(reader)) {
            // not here and now: whoever registers is still on its way out of the request before
            pool.execute(reader::succeeded);
        }
    }

    /** Lets Jetty's reader wait; false if there is something for it already. */
    private boolean register(Callback reader) {
        synchronized (lock) {
            if (readAhead != null || ended) {
                return false;
            }
            if (watcherRegistered) {
                waitingReader = reader;
            } else {
                super.fillInterested(reader);
            }
            return true;
        }
    }

    @Override
    public boolean tryFillInterested(Callback reader) {
        limitHead();
        synchronized (lock) {
            if (readAhead == null && !ended) {
                if (!watcherRegistered) {
                    return super.tryFillInterested(reader);
                }
                if (waitingReader != null) {
                    return false;
                }
                waitingReader = reader;
                return true;
            }
        }
        pool.execute(reader::succeeded);
        return true;
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        synchronized (lock) {
            if (readAhead != null) {
                head.onBytes(clock.nowMs());
                return takeReadAhead(buffer);
            }
            if (ended) {
                return -1;
            }
        }
        int filled = super.fill(buffer);
        if (filled > 0) {
            synchronized (lock) {
                head.onBytes(clock.nowMs());
            }
        }
        return filled;
    }

    private int takeReadAhead(ByteBuffer buffer) {
        int position = BufferUtil.flipToFill(buffer);
        int taken = BufferUtil.put(readAhead, buffer);
        BufferUtil.flipToFlush(buffer, position);
        if (!readAhead.hasRemaining()) {
            readAhead = null;
        }
        return taken;
    }
}
