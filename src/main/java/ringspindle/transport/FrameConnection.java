package ringspindle.transport;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable;
import ringspindle.peering.FrameDecoder;
import ringspindle.protocol.Codec;
import ringspindle.protocol.FrameException;
import ringspindle.protocol.Message;
import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;

/**
 * One connection of the mesh. It greets first; its peer is known once it has greeted back and its owner took it in. Bytes
 * that are no message close it.
 */
final class FrameConnection extends AbstractConnection {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** Of messages that cannot be handled one is logged in so many seconds. */
    private static final int LOG_EVERY_S = 10;
    /** No frame is longer, in bytes. */
    private static final int BODY_MAX = 48 << 20;
    /** Who has not said who it is gets no more room than that takes. */
    private static final int GREETING_MAX = 4096;

    /** Whom a connection belongs to; called from a selector's thread or one of the pool, so it must not block. */
    interface Owner {
        /** The greeting of this node. */
        Message.Hello greeting();

        /** The connection is open; the owner closes it if its peer does not greet in time. */
        void opened(FrameConnection connection);

        /** The peer said who it is; the owner calls {@link FrameConnection#admit} or closes the connection. */
        void greeted(FrameConnection connection, Message.Hello peer);

        /** A message of a peer that was admitted. */
        void received(FrameConnection connection, Message message);

        /** What came is no message; the connection is closed after this. */
        void refused(FrameConnection connection, FrameException reason);

        /** The connection is closed. */
        void closed(FrameConnection connection);
    }

    private final NodeId dialled;
    private final Owner owner;
    private final FrameDecoder decoder = new FrameDecoder();
    private final FrameWriter writer;
    /** Owners do not block, so that frames are read on the selector's thread. */
    private final Callback reader =
            Callback.from(Invocable.InvocationType.NON_BLOCKING, this::onFillable, this::onFillInterestedFailed);

    private volatile Message.Hello peer;

    /**
     * @param dialled the address that this node dialled, null if the connection was accepted
     */
    FrameConnection(EndPoint endPoint, Executor executor, NodeId dialled, Owner owner) {
        super(endPoint, executor);
        this.dialled = dialled;
        this.owner = owner;
        writer = new FrameWriter(endPoint, this::close);
    }

    /** The address that this node dialled, null if the connection was accepted. */
    NodeId dialled() {
        return dialled;
    }

    /** The peer's address, null before it was admitted. */
    NodeId peerNode() {
        Message.Hello known = peer;
        return known == null ? null : known.node();
    }

    /** The connection stands for this peer from now on. */
    void admit(Message.Hello admitted) {
        peer = admitted;
    }

    /**
     * Sends a message; closes the connection if too much waits for the peer.
     *
     * @param body the message as bytes
     */
    void send(Message message, byte[] body) {
        writer.write(message, body);
    }

    /** Bytes that the peer has not taken yet. */
    int pendingBytes() {
        return writer.pendingBytes();
    }

    @Override
    public void onOpen() {
        super.onOpen();
        owner.opened(this);
        // first of all: whatever else another thread sends from here on, the peer must have the greeting before it
        Message.Hello greeting = owner.greeting();
        send(greeting, Codec.encode(greeting));
        fillInterested(reader);
    }

    @Override
    public void onFillable() {
        try {
            readAvailable();
        } catch (FrameException e) {
            owner.refused(this, e);
            close();
        } catch (IOException e) {
            LOG.atFine().withCause(e).log("connection to %s fails", peerNode());
            close();
        } catch (Throwable e) {
            LOG.atSevere().withCause(e).atMostEvery(LOG_EVERY_S, TimeUnit.SECONDS).log(
                    "a message of %s cannot be handled", peerNode());
            close();
        }
    }

    private void readAvailable() throws Exception {
        while (true) {
            int filled = getEndPoint().fill(decoder.room());
            if (filled < 0) {
                close();
                return;
            }
            if (filled == 0) {
                fillInterested(reader);
                return;
            }
            decoder.filled(filled);
            readFrames();
        }
    }

    private void readFrames() {
        for (byte[] body = decoder.next(bodyMax()); body != null; body = decoder.next(bodyMax())) {
            receive(Codec.decode(body));
        }
    }

    private int bodyMax() {
        return peer == null ? GREETING_MAX : BODY_MAX;
    }

    private void receive(Message message) {
        NodeId from = peerNode();
        if (from != null) {
            if (message instanceof Message.Heartbeat heartbeat
                    && heartbeat.flags().has(NodeFlags.FRAGMENTS)) {
                writer.allowFragments();
            }
            owner.received(this, message);
        } else if (message instanceof Message.Hello greeting) {
            owner.greeted(this, greeting);
        } else {
            throw new FrameException(
                    FrameException.Reason.NO_HELLO, message.getClass().getSimpleName());
        }
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        owner.closed(this);
    }
}
