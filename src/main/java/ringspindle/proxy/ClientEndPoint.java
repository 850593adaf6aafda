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
 * End point of a client's connection that detects when the client closes it while a request is being processed. Jetty's
 * HTTP/1.1 connection reads nothing during that time, so this class reads ahead into a small buffer and later hands
 * these bytes, which belong to the next request, to Jetty's parser.
 *
 * <p>It also closes connections whose next request headers take longer than the configured limit. If a part of them
 * arrived together with the previous request, the limit applies from the next received bytes on.
 *
 * <p>A reset and an orderly close are treated alike, since the client is gone in both cases; a request with a truncated
 * body fails because of its framing.
 */
final class ClientEndPoint extends SocketChannelEndPoint {
    /** The maximum number of bytes of later requests that are read ahead. */
    private static final int MAX_READ_AHEAD_BYTES = 16384;

    private static final int READ_BUFFER_BYTES = 2048;
    /** A timer that fires later than this indicates a pause of this process rather than a slow client. */
    private static final int PAUSE_THRESHOLD_MS = 250;

    private static final byte[] HEADER_TIMEOUT_RESPONSE = ("HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n"
                    + "Content-Length: 0\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1);

    /** Accepts connections with end points of this type. */
    static final class Connector extends ServerConnector {
        /** How long a client may take to send the headers of a request. */
        private volatile int headerTimeoutMs = FleetConfig.Limits.DEFAULT_HEADER_MS;

        Connector(Server server, Executor pool, Scheduler scheduler, ConnectionFactory... factories) {
            super(server, pool, scheduler, null, 0, 1, factories);
        }

        /** Sets how long a client may take to send the headers of a request, in ms. */
        void setHeadTimeout(int timeoutMs) {
            headerTimeoutMs = timeoutMs;
        }

        @Override
        protected SocketChannelEndPoint newEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key)
                throws IOException {
            ClientEndPoint endPoint = new ClientEndPoint(channel, selector, key, getScheduler(), this);
            endPoint.setIdleTimeout(getIdleTimeout());
            return endPoint;
        }

        /** Applies an idle timeout that was raised since the end point was created to this end point as well. */
        @Override
        protected void onEndPointOpened(EndPoint opened) {
            super.onEndPointOpened(opened);
            opened.setIdleTimeout(Math.max(opened.getIdleTimeout(), getIdleTimeout()));
        }
    }

    private final Connector connector;
    private final Executor pool;
    private final MonotonicClock clock = MonotonicClock.system();
    /** Guards all fields below; no foreign code is called under it except for Jetty's own read methods. */
    private final Object lock = new Object();
    /** Bytes that were read ahead, null if there are none. */
    private ByteBuffer readAhead;
    /** True once reading from the client ended with a close or a failure. */
    private boolean inputClosed;
    /** True while the watcher waits for bytes from the client. */
    private boolean watcherRegistered;
    /** Jetty's reader, if it is to be notified while the watcher is registered. */
    private Callback waitingReader;
    /** Runs when the client has closed the connection; null while it is not watched. */
    private Runnable onClientGone;
    /** How far the next request's headers have been received. */
    private final HeaderProgress headerProgress = new HeaderProgress();

    private boolean headerTimerScheduled;

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

    /** Called when the headers of a request are complete. */
    void onHead() {
        synchronized (lock) {
            headerProgress.onHeadersComplete();
        }
    }

    /** Called when the response is complete, so that the next request may follow. */
    void onRequestEnded() {
        synchronized (lock) {
            headerProgress.onRequestEnded();
        }
    }

    /** Called when Jetty waits for more bytes: schedules the header timer if headers are being received. */
    private void ensureHeaderTimer() {
        synchronized (lock) {
            if (!isParsingHeaders()) {
                headerProgress.onNoHeaders();
            }
            if (headerProgress.isReceivingHeaders() && !headerTimerScheduled) {
                headerTimerScheduled = true;
                scheduleHeaderTimer(headerProgress.remainingMs(connector.headerTimeoutMs, clock.nowMs()));
            }
        }
    }

    private void scheduleHeaderTimer(long delayMs) {
        long dueMs = clock.nowMs() + Math.max(1, delayMs);
        getScheduler().schedule(() -> onHeaderTimer(dueMs), Math.max(1, delayMs), TimeUnit.MILLISECONDS);
    }

    /** Returns false if the received bytes were the rest of an answered request, and no next request has begun. */
    private boolean isParsingHeaders() {
        HttpParser parser = getConnection() instanceof HttpConnection http ? http.getParser() : null;
        return parser != null && parser.inHeaderState() && !parser.isStart();
    }

    private void onHeaderTimer(long dueMs) {
        synchronized (lock) {
            long nowMs = clock.nowMs();
            if (nowMs - dueMs > PAUSE_THRESHOLD_MS) {
                headerProgress.restart(nowMs);
            }
            long remainingMs = headerProgress.remainingMs(connector.headerTimeoutMs, nowMs);
            if (!isParsingHeaders()) {
                headerProgress.onNoHeaders();
            }
            if (!headerProgress.isReceivingHeaders() || !isOpen()) {
                headerTimerScheduled = false;
                return;
            }
            if (remainingMs > 0) {
                scheduleHeaderTimer(remainingMs);
                return;
            }
        }
        Callback closing = Callback.from(this::close);
        write(closing, ByteBuffer.wrap(HEADER_TIMEOUT_RESPONSE));
    }

    /** Watches for a close by the client, which runs {@code clientGone}; the request must have been read completely. */
    void watch(Runnable clientGone) {
        boolean alreadyClosed;
        synchronized (lock) {
            onClientGone = clientGone;
            alreadyClosed = inputClosed;
            if (!alreadyClosed && !watcherRegistered && waitingReader == null && readAhead == null) {
                watcherRegistered = true;
                super.fillInterested(watcher);
            }
        }
        if (alreadyClosed) {
            clientGone.run();
        }
    }

    /** Stops watching at the end of the request. */
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
                clientGone = readAheadOrDetectClose();
            }
        }
        if (reader != null) {
            reader.succeeded();
        }
        if (clientGone != null) {
            clientGone.run();
        }
    }

    /** Reads the available bytes and waits for more; returns the task to run if the client closed, else null. */
    private Runnable readAheadOrDetectClose() {
        ByteBuffer bytes = BufferUtil.allocate(READ_BUFFER_BYTES);
        int filled;
        try {
            filled = super.fill(bytes);
        } catch (IOException closedLocally) {
            filled = -1;
        }
        if (filled < 0) {
            inputClosed = true;
            return onClientGone;
        }
        if (filled > 0) {
            appendReadAhead(bytes);
        }
        if (filled == 0 || readAhead.remaining() < MAX_READ_AHEAD_BYTES) {
            watcherRegistered = true;
            super.fillInterested(watcher);
        }
        return null;
    }

    private void appendReadAhead(ByteBuffer bytes) {
        int previousLength = readAhead == null ? 0 : readAhead.remaining();
        ByteBuffer combined = ByteBuffer.allocate(previousLength + bytes.remaining());
        if (readAhead != null) {
            combined.put(readAhead);
        }
        readAhead = combined.put(bytes).flip();
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
                    // The idle timeout: the client is expected to send nothing while it waits for the response.
                    watcherRegistered = true;
                    super.fillInterested(watcher);
                } else {
                    inputClosed = true;
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

    /** Does not count the watcher itself: Jetty would take it for a leftover reader and close the connection. */
    @Override
    public boolean isFillInterested() {
        synchronized (lock) {
            return watcherRegistered ? waitingReader != null : super.isFillInterested();
        }
    }

    @Override
    public void fillInterested(Callback reader) {
        ensureHeaderTimer();
        if (!register(reader)) {
            // Not on this thread: the caller is still completing the previous request.
            pool.execute(reader::succeeded);
        }
    }

    /** Registers Jetty's reader; returns false if there is something to read already. */
    private boolean register(Callback reader) {
        synchronized (lock) {
            if (readAhead != null || inputClosed) {
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
        ensureHeaderTimer();
        synchronized (lock) {
            if (readAhead == null && !inputClosed) {
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
                headerProgress.onBytes(clock.nowMs());
                return takeReadAhead(buffer);
            }
            if (inputClosed) {
                return -1;
            }
        }
        int filled = super.fill(buffer);
        if (filled > 0) {
            synchronized (lock) {
                headerProgress.onBytes(clock.nowMs());
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
