package ringspindle.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.ConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * An endpoint that notices the consumer's close while its request is at work. Jetty's HTTP/1.1 reads nothing in that
 * time, so this reads into a small held buffer and hands those bytes back to the parser afterwards.
 */
final class ClientEndPoint extends SocketChannelEndPoint {
    private static final int HELD_MAX = 16384;

    /** Hands out watched endpoints. */
    static final class Connector extends ServerConnector {
        Connector(
                Server server,
                Executor pool,
                org.eclipse.jetty.util.thread.Scheduler beats,
                ConnectionFactory... factories) {
            super(server, pool, beats, null, 0, 1, factories);
        }

        @Override
        protected SocketChannelEndPoint newEndPoint(SocketChannel channel, ManagedSelector select, SelectionKey key)
                throws IOException {
            ClientEndPoint e = new ClientEndPoint(channel, select, key, getScheduler(), getExecutor());
            e.setIdleTimeout(getIdleTimeout());
            return e;
        }

        /** Registers the end point; a limit that was raised since it was made holds for it as well. */
        @Override
        protected void onEndPointOpened(EndPoint opened) {
            super.onEndPointOpened(opened);
            opened.setIdleTimeout(Math.max(opened.getIdleTimeout(), getIdleTimeout()));
        }
    }

    private final Executor pool;
    private final Object lock = new Object();
    private ByteBuffer held;
    private boolean ended;
    private boolean registered;
    private Callback reader;
    private Runnable gone;

    private final Callback watcher = new Callback() {
        @Override
        public void succeeded() {
            readable();
        }

        @Override
        public void failed(Throwable x) {
            broken(x);
        }

        @Override
        public InvocationType getInvocationType() {
            return InvocationType.NON_BLOCKING;
        }
    };

    ClientEndPoint(
            SocketChannel channel,
            ManagedSelector select,
            SelectionKey key,
            org.eclipse.jetty.util.thread.Scheduler beats,
            Executor pool) {
        super(channel, select, key, beats);
        this.pool = pool;
    }

    /** From now on a close of the other side runs that; the request must have been read whole. */
    void watch(Runnable consumerGone) {
        boolean now;
        synchronized (lock) {
            gone = consumerGone;
            now = ended;
            if (!now && !registered && reader == null && held == null) {
                registered = true;
                super.fillInterested(watcher);
            }
        }
        if (now) {
            consumerGone.run();
        }
    }

    /** The request is over. */
    void unwatch() {
        synchronized (lock) {
            gone = null;
        }
    }

    private void readable() {
        Callback r = null;
        Runnable g = null;
        synchronized (lock) {
            registered = false;
            if (reader != null) {
                r = reader;
                reader = null;
            } else {
                ByteBuffer b = BufferUtil.allocate(2048);
                int n;
                try {
                    n = super.fill(b);
                } catch (IOException x) {
                    n = -1;
                }
                if (n < 0) {
                    ended = true;
                    g = gone;
                } else if (n > 0) {
                    hold(b);
                }
                if (n == 0 || n > 0 && held.remaining() < HELD_MAX) {
                    registered = true;
                    super.fillInterested(watcher);
                }
            }
        }
        if (r != null) {
            r.succeeded();
        }
        if (g != null) {
            g.run();
        }
    }

    private void hold(ByteBuffer b) {
        int had = held == null ? 0 : held.remaining();
        ByteBuffer more = ByteBuffer.allocate(had + b.remaining());
        if (held != null) {
            more.put(held);
        }
        held = more.put(b).flip();
    }

    private void broken(Throwable x) {
        Callback r;
        Runnable g = null;
        synchronized (lock) {
            registered = false;
            r = reader;
            reader = null;
            if (r == null) {
                if (x instanceof TimeoutException) {
                    // the consumer is idle, as it should be while it waits
                    registered = true;
                    super.fillInterested(watcher);
                } else {
                    ended = true;
                    g = gone;
                }
            }
        }
        if (r != null) {
            r.failed(x);
        }
        if (g != null) {
            g.run();
        }
    }

    /** The watcher's own reading is nobody's business: Jetty drops a wire whose reader seems to be left over. */
    @Override
    public boolean isFillInterested() {
        synchronized (lock) {
            return registered ? reader != null : super.isFillInterested();
        }
    }

    @Override
    public void fillInterested(Callback callback) {
        boolean now;
        synchronized (lock) {
            now = held != null || ended;
            if (!now) {
                if (registered) {
                    reader = callback;
                } else {
                    super.fillInterested(callback);
                }
            }
        }
        if (now) {
            // not here and now: whoever registers is still on its way out of the request before
            pool.execute(callback::succeeded);
        }
    }

    @Override
    public boolean tryFillInterested(Callback callback) {
        synchronized (lock) {
            if (held == null && !ended) {
                if (!registered) {
                    return super.tryFillInterested(callback);
                }
                if (reader != null) {
                    return false;
                }
                reader = callback;
                return true;
            }
        }
        pool.execute(callback::succeeded);
        return true;
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        synchronized (lock) {
            if (held != null) {
                int at = BufferUtil.flipToFill(buffer);
                int n = BufferUtil.put(held, buffer);
                BufferUtil.flipToFlush(buffer, at);
                if (!held.hasRemaining()) {
                    held = null;
                }
                return n;
            }
            if (ended) {
                return -1;
            }
        }
        return super.fill(buffer);
    }
}
