package ringspindle.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import ringspindle.protocol.Codec;
import ringspindle.protocol.FrameException.Reason;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Heartbeat;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;

/** Bytes that are no message end their connection, are counted, and change nothing. */
@Timeout(60)
class JettyMeshTest {
    private static final NodeId PEER = NodeId.of("10.9.9.9:7000");
    private static final Message BEAT = new Heartbeat(1, 0, NodeFlags.NONE, 0, 0, 0, List.of());

    private final BlockingQueue<String> heard = new LinkedBlockingQueue<>();
    private Threads threads;
    private JettyMesh mesh;
    private NodeId self;

    private static Hello hello(NodeId n, long life) {
        return new Hello(n, life, 0, n.bits(), n.toString(), "z", "r");
    }

    @BeforeEach
    void open() throws Exception {
        threads = Threads.start("test", 12, 4);
        int port;
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = s.getLocalPort();
        }
        self = NodeId.of("127.0.0.1:" + port);
        mesh = new JettyMesh(hello(self, 1), self.ip(), threads.pool(), threads.scheduler());
        mesh.open(new Mesh.Listener() {
            @Override
            public void opened(Hello peer) {
                heard.add("opened " + peer.node() + " life " + peer.life());
            }

            @Override
            public void received(NodeId from, Message m) {
                heard.add("heard " + m);
            }

            @Override
            public void closed(NodeId peer) {
                heard.add("closed " + peer);
            }
        });
    }

    @AfterEach
    void close() throws Exception {
        mesh.close();
        threads.scheduler().stop();
        threads.pool().stop();
    }

    private Socket connect() throws IOException {
        Socket s = new Socket("127.0.0.1", self.port());
        s.setSoTimeout(30_000);
        return s;
    }

    private static byte[] frame(byte[] body) {
        return java.nio.ByteBuffer.allocate(4 + body.length)
                .putInt(body.length)
                .put(body)
                .array();
    }

    private static byte[] frame(Message m) {
        return frame(Codec.encode(m));
    }

    /** Reads on until the other side ends it. */
    private static void ends(Socket s) throws IOException {
        byte[] some = new byte[4096];
        try {
            while (s.getInputStream().read(some) >= 0) {
                // what comes before the end does not matter
            }
        } catch (SocketException x) {
            // a reset ends it as well
        }
    }

    private String next() throws InterruptedException {
        return heard.poll(30, TimeUnit.SECONDS);
    }

    private static byte[] header(int field, int value) {
        byte[] bytes = Codec.encode(hello(PEER, 1));
        bytes[2 * field] = (byte) value;
        bytes[2 * field + 1] = (byte) (value >> 8);
        return frame(bytes);
    }

    static Stream<Arguments> bad() {
        byte[] cut = Codec.encode(new Heartbeat(1, 0, NodeFlags.NONE, 0, 0, 0, List.of(PEER)));
        return Stream.of(
                Arguments.of("negative length", Reason.OVERSIZED, new byte[] {(byte) 0xff, 0, 0, 0}),
                Arguments.of("huge length", Reason.OVERSIZED, new byte[] {0x7f, 0, 0, 0}),
                Arguments.of("template", Reason.UNKNOWN_TEMPLATE, header(1, 999)),
                Arguments.of("schema", Reason.FOREIGN_SCHEMA, header(2, 42)),
                Arguments.of("version", Reason.FOREIGN_VERSION, header(3, 9)),
                Arguments.of("fixed part", Reason.FOREIGN_VERSION, header(0, 1)),
                Arguments.of("cut", Reason.GARBLED, frame(Arrays.copyOf(cut, cut.length - 1))),
                Arguments.of("empty", Reason.GARBLED, frame(new byte[0])));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("bad")
    void badFramesEndTheirConnectionAndChangeNothing(String what, Reason reason, byte[] bytes) throws Exception {
        try (Socket first = connect()) {
            first.getOutputStream().write(bytes);
            ends(first);
        }
        assertEquals(1, mesh.refused(reason), "as the first of a connection");
        assertNull(heard.peek(), "nobody was told");

        try (Socket later = connect()) {
            later.getOutputStream().write(frame(hello(PEER, 1)));
            later.getOutputStream().write(frame(BEAT));
            later.getOutputStream().write(bytes);
            later.getOutputStream().write(frame(BEAT));
            ends(later);
        }
        assertEquals(
                List.of("opened " + PEER + " life 1", "heard " + BEAT, "closed " + PEER),
                List.of(next(), next(), next()));
        assertEquals(2, mesh.refused(reason));
        assertFalse(mesh.connected(PEER));

        try (Socket good = connect()) {
            good.getOutputStream().write(frame(hello(PEER, 1)));
            good.getOutputStream().write(frame(BEAT));
            assertEquals(
                    List.of("opened " + PEER + " life 1", "heard " + BEAT), List.of(next(), next()), "others go on");
        }
    }

    @Test
    void whoHasNotSaidWhoItIsGetsLittleRoomAndNoEar() throws Exception {
        try (Socket s = connect()) {
            s.getOutputStream().write(new byte[] {0, 0, 0x20, 0});
            ends(s);
        }
        assertEquals(1, mesh.refused(Reason.OVERSIZED));
        try (Socket s = connect()) {
            s.getOutputStream().write(frame(BEAT));
            ends(s);
        }
        assertEquals(1, mesh.refused(Reason.NO_HELLO));
        assertNull(heard.peek());
    }

    @Test
    void aConnectionOfAnEarlierLifeDoesNotDisplaceALaterOne() throws Exception {
        try (Socket later = connect()) {
            later.getOutputStream().write(frame(hello(PEER, 7)));
            assertEquals("opened " + PEER + " life 7", next());
            try (Socket earlier = connect()) {
                earlier.getOutputStream().write(frame(hello(PEER, 6)));
                ends(earlier);
            }
            assertEquals(1, mesh.refused(Reason.EARLIER_LIFE));
            later.getOutputStream().write(frame(BEAT));
            assertEquals("heard " + BEAT, next(), "the later one still stands");
            try (Socket latest = connect()) {
                latest.getOutputStream().write(frame(hello(PEER, 8)));
                assertEquals("opened " + PEER + " life 8", next());
                ends(later);
                mesh.drop(PEER);
                assertEquals("closed " + PEER, next());
            }
        }
    }

    @Test
    void onceTheLaterOneHasEndedALifeWithALowerNumberGetsThrough() throws Exception {
        try (Socket before = connect()) {
            before.getOutputStream().write(frame(hello(PEER, 7)));
            assertEquals("opened " + PEER + " life 7", next());
        }
        assertEquals("closed " + PEER, next());
        try (Socket after = connect()) {
            after.getOutputStream().write(frame(hello(PEER, 3)));
            assertEquals("opened " + PEER + " life 3", next(), "the time of day went back between the two");
        }
    }

    /** A peer that loses power between the opening of a connection and its greeting must not block its address. */
    @Test
    void anAddressThatTookAConnectionAndNeverGreetedIsDialledAgain() throws Exception {
        try (ServerSocket silent = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
            NodeId address = NodeId.of("127.0.0.1:" + silent.getLocalPort());
            mesh.dial(address);
            try (Socket first = silent.accept()) {
                mesh.dial(address);
                ends(first);
            }
            // the connection is gone from the table before its end is seen here, or a moment later
            Socket second = null;
            silent.setSoTimeout(100);
            for (int tries = 0; second == null && tries < 100; tries++) {
                mesh.dial(address);
                second = accept(silent);
            }
            assertNotNull(second);
            second.close();
        }
    }

    private static Socket accept(ServerSocket server) throws IOException {
        try {
            return server.accept();
        } catch (SocketTimeoutException none) {
            return null;
        }
    }
}
