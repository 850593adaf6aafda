package ringspindle.scale;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import ringspindle.peering.ConnectionTable;
import ringspindle.peering.FrameDecoder;
import ringspindle.peering.FrameQueue;
import ringspindle.protocol.Codec;
import ringspindle.protocol.FrameException;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeId;
import ringspindle.transport.Mesh;

/**
 * The mesh of one simulated process over connections that behave as TCP's: a dialled address may be silent or refuse, bytes
 * behind a cut wait until it heals, a power loss says nothing. Which connection stands is decided by the real
 * {@link ConnectionTable}.
 */
final class SimulatedMesh implements Mesh {
    private static final int CONNECT_TIMEOUT_MS = 800;
    private static final int WINDOW_BYTES = 64 << 10;
    private static final int BODY_MAX = 48 << 20;
    /** What is blocked is tried again after so long. */
    private static final double RETRANSMISSION_MS = 100;

    /**
     * Bytes that arrive together, so much later than the link takes.
     *
     * @param framed they are a frame, and not a message as bytes
     */
    private record Part(byte[] bytes, double lateMs, boolean framed) {}

    /** One side of a connection. */
    private final class End {
        private final NodeId peerAddress;
        private final NodeId dialled;
        private End other;
        private boolean open = true;
        private boolean silent;
        private Hello peer;
        /** What is on its way from here; an empty part is the end of the connection. */
        private final Deque<Part> sent = new ArrayDeque<>();

        private boolean transmitting;
        /** What is not written yet, where links have a bandwidth. */
        private final FrameQueue queue = new FrameQueue();

        private final FrameDecoder decoder = new FrameDecoder();

        private boolean writing;

        End(NodeId peerAddress, NodeId dialled) {
            this.peerAddress = peerAddress;
            this.dialled = dialled;
        }

        SimulatedMesh mesh() {
            return SimulatedMesh.this;
        }

        void start() {
            table.opened(this, dialled);
            network.at(ConnectionTable.GREETING_MS, () -> {
                if (table.awaitsGreeting(this)) {
                    close();
                }
            });
            send(self, network.interference().fate(self.node(), peerAddress, self));
        }

        void send(Message message, SimulatedNetwork.Fate fate) {
            if (fate instanceof SimulatedNetwork.Fate.Arrives arrives) {
                for (int i = 0; i < arrives.times(); i++) {
                    byte[] body = Codec.encode(message);
                    if (network.isUnlimited()) {
                        transmit(new Part(body, arrives.lateMs(), false));
                    } else {
                        enqueue(message, body);
                    }
                }
            } else if (fate instanceof SimulatedNetwork.Fate.Reset) {
                network.at(0, this::close);
            }
        }

        private void enqueue(Message message, byte[] body) {
            if (!queue.add(message, body)) {
                close();
            } else if (!writing) {
                writing = true;
                writeNext();
            }
        }

        /** As with a socket: what the other side does not take fills a small window, then nothing more is written. */
        private void writeNext() {
            int unread = sent.stream().mapToInt(part -> part.bytes().length).sum();
            if (unread > WINDOW_BYTES) {
                network.at(RETRANSMISSION_MS / 10, this::writeNext);
                return;
            }
            List<ByteBuffer> batch = queue.next();
            if (batch.isEmpty() || !open) {
                writing = false;
                return;
            }
            int bytes = batch.stream().mapToInt(ByteBuffer::remaining).sum();
            network.at(network.occupyLink(self.node(), bytes), () -> {
                batch.forEach(frame -> transmit(new Part(frame.array(), 0, true)));
                writeNext();
            });
        }

        void transmit(Part part) {
            sent.add(part);
            if (!transmitting) {
                transmitting = true;
                network.at(wayMs() + part.lateMs(), this::arrive);
            }
        }

        private double wayMs() {
            return SimulatedNetwork.wayMs(SimulatedNetwork.reach(self, other.mesh().self));
        }

        /** The oldest part arrives at the other side, unless something is in its way. */
        private void arrive() {
            NodeId there = other.mesh().self.node();
            if (sent.isEmpty()) {
                transmitting = false;
                return;
            }
            boolean blocked = network.isCut(self.node(), there) || network.down(there) || network.down(self.node());
            if (blocked) {
                network.at(RETRANSMISSION_MS, this::arrive);
                return;
            }
            Part part = sent.remove();
            transmitting = !sent.isEmpty();
            if (transmitting) {
                network.at(sent.peek().lateMs(), this::arrive);
            }
            if (other.silent) {
                // its machine has started anew and knows of no such connection
                closeSilently();
            } else if (part.bytes().length == 0) {
                other.closeSilently();
            } else {
                other.receive(part);
            }
        }

        private void receive(Part part) {
            if (!part.framed()) {
                receive(part.bytes());
                return;
            }
            ByteBuffer bytes = ByteBuffer.wrap(part.bytes());
            while (bytes.hasRemaining()) {
                ByteBuffer room = decoder.room();
                int count = Math.min(room.capacity(), bytes.remaining());
                room.limit(count).put(bytes.slice().limit(count));
                bytes.position(bytes.position() + count);
                decoder.filled(count);
                for (byte[] body = decoder.next(BODY_MAX); body != null; body = decoder.next(BODY_MAX)) {
                    receive(body);
                }
            }
        }

        private void receive(byte[] body) {
            if (open) {
                network.charge(self.node(), () -> receive(Codec.decode(body), body.length));
            }
        }

        private void receive(Message message, int bytes) {
            if (peer != null) {
                network.count(peer, self, bytes);
                queue.allowFragments();
                listener.received(peer.node(), message);
                return;
            }
            if (!(message instanceof Hello greeting)) {
                close();
                return;
            }
            try {
                if (network.interference().closesCrossed() && dialled == null && dials(greeting.node())) {
                    close();
                    return;
                }
                ConnectionTable.Admission<End> admission = table.greeted(this, greeting);
                if (!admission.admitted()) {
                    close();
                    return;
                }
                peer = greeting;
                network.count(peer, self, bytes);
                admission.replaced().ifPresent(End::close);
                listener.opened(greeting);
            } catch (FrameException refused) {
                close();
            }
        }

        private boolean dials(NodeId node) {
            boolean idle = table.beginDial(node);
            if (idle) {
                table.dialFailed(node);
            }
            return !idle;
        }

        /** Closes this side and tells the other. */
        void close() {
            if (open) {
                closeSilently();
                sent.clear();
                transmit(new Part(new byte[0], 0, false));
            }
        }

        private void closeSilently() {
            if (open) {
                open = false;
                table.closed(this, dialled).ifPresent(listener::closed);
            }
        }
    }

    private final SimulatedNetwork network;
    private final Hello self;
    private final ConnectionTable<End> table;
    private final List<End> ends = new ArrayList<>();
    private Listener listener;
    private boolean running = true;

    SimulatedMesh(SimulatedNetwork network, Hello self) {
        this.network = network;
        this.self = self;
        table = new ConnectionTable<>(self.node());
    }

    boolean running() {
        return running;
    }

    /** The process is gone: its connections are reset, or say nothing any more. */
    void end(boolean reset) {
        running = false;
        for (End end : ends) {
            if (end.open) {
                end.open = false;
                end.silent = !reset;
                end.sent.clear();
                if (reset) {
                    end.transmit(new Part(new byte[0], 0, false));
                }
            }
        }
    }

    @Override
    public void open(Listener newListener) {
        listener = newListener;
    }

    @Override
    public void dial(NodeId peer) {
        if (!running || network.interference().swallowsDial(self.node(), peer) || !table.beginDial(peer)) {
            return;
        }
        SimulatedMesh there = network.mesh(peer);
        boolean silent = network.isCut(self.node(), peer)
                || network.isCut(peer, self.node())
                || network.down(peer)
                || network.down(self.node());
        if (silent) {
            network.at(CONNECT_TIMEOUT_MS, () -> table.dialFailed(peer));
        } else if (there == null || there == this || there.listener == null) {
            network.at(1, () -> table.dialFailed(peer));
        } else {
            double wayMs = SimulatedNetwork.wayMs(SimulatedNetwork.reach(self, there.self));
            network.at(wayMs, () -> accept(there, wayMs));
        }
    }

    /** The opening packet arrives; the answer may be held up by a cut that has begun meanwhile. */
    private void accept(SimulatedMesh there, double wayMs) {
        NodeId peer = there.self.node();
        if (!running || !there.running) {
            table.dialFailed(peer);
            return;
        }
        End here = new End(peer, peer);
        End accepted = there.new End(self.node(), null);
        here.other = accepted;
        accepted.other = here;
        there.ends.add(accepted);
        boolean lost = network.isCut(peer, self.node()) || network.down(self.node());
        network.at(lost ? CONNECT_TIMEOUT_MS : wayMs, () -> {
            if (lost || !running) {
                here.open = false;
                here.silent = true;
                table.dialFailed(peer);
            } else {
                ends.add(here);
                here.start();
            }
        });
        // its greeting comes behind the answer to the opening packet
        accepted.start();
    }

    @Override
    public void send(NodeId peer, Message message) {
        send(table.get(peer), peer, message);
    }

    @Override
    public void send(NodeId peer, long life, Message message) {
        send(table.get(peer, life), peer, message);
    }

    private void send(End end, NodeId peer, Message message) {
        if (end != null && running) {
            end.send(message, network.interference().fate(self.node(), peer, message));
        }
    }

    @Override
    public int pendingBytes(NodeId peer) {
        End end = table.get(peer);
        return end == null ? 0 : end.queue.bytes();
    }

    @Override
    public boolean connected(NodeId peer) {
        return table.get(peer) != null;
    }

    @Override
    public void drop(NodeId peer) {
        End end = table.get(peer);
        if (end != null) {
            end.close();
        }
    }

    @Override
    public void close() {
        new ArrayList<>(ends).forEach(End::close);
    }
}
