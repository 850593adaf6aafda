package ringspindle.protocol;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import ringspindle.protocol.Message.Accept;
import ringspindle.protocol.Message.Accepted;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.Confirm;
import ringspindle.protocol.Message.Confirmed;
import ringspindle.protocol.Message.Decided;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.Message.EngineLoad;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.Heartbeat;
import ringspindle.protocol.Message.HeartbeatRow;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.Message.Lease;
import ringspindle.protocol.Message.LedgerReport;
import ringspindle.protocol.Message.LedgerRow;
import ringspindle.protocol.Message.Load;
import ringspindle.protocol.Message.Mark;
import ringspindle.protocol.Message.News;
import ringspindle.protocol.Message.Pledge;
import ringspindle.protocol.Message.Prepare;
import ringspindle.protocol.Message.RegionLoad;
import ringspindle.protocol.Message.Relearn;
import ringspindle.protocol.Message.Relearned;
import ringspindle.protocol.Message.Report;
import ringspindle.protocol.Message.SourceRow;
import ringspindle.protocol.Message.State;
import ringspindle.protocol.Message.Synced;
import ringspindle.protocol.Message.TakenOrder;
import ringspindle.protocol.Message.TallyRow;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.Message.Vote;

/** Every message comes back as it went; what is no whole message is refused. */
class CodecTest {
    private static final NodeId A = NodeId.of("10.0.0.1:7000");
    private static final NodeId B = NodeId.of("255.255.255.255:65535");
    private static final View VIEW = new View(4, List.of(A, B), List.of(B));

    private static List<Message> all() {
        return List.of(
                new Hello(A, 5, 1, B.bits(), "näme", "z", ""),
                new Heartbeat(1, 2, NodeFlags.of(7), 3, -1, 9, List.of(A, B)),
                VIEW,
                new Prepare(5, 1025, VIEW),
                new Pledge(5, 1025, true, 6, 7, -1, 0, null, VIEW),
                new Accept(5, 9, VIEW),
                new Accepted(5, 9, false, 11),
                new Decided(VIEW),
                new Synced(3, 4),
                new Confirm(1, 2),
                new Confirmed(1, 2, true),
                new Relearn(8),
                new Relearned(8, 1, 2, 3, VIEW, null),
                new Lease(3, 9, 3000),
                new Vote(1, 2, 3, null, VIEW),
                new Engine(64, 0, true, -1, 7, "s", "10.0.0.1:80", "z", "v1"),
                new Report(
                        1,
                        2,
                        List.of(new TallyRow(-5, 2, 1, 2, 3, 65000, 4000000000L, 1, 2, 3, 4, 5, 6)),
                        List.of(new HeartbeatRow(9, 1200)),
                        List.of(new SourceRow(A, 3, 4))),
                new LedgerReport(
                        1, 2, 3, 4, 0, List.of(new LedgerRow(3, 9, 1, 2, 3, 1, 0, 2, 8, 1, 7, 0, 0, "digests"))),
                new Load(
                        1,
                        2,
                        List.of(new EngineLoad(7, 1, 2, 3, 4)),
                        List.of(new RegionLoad("r", "s", 1, 2, 3, 4, 5))));
    }

    @Test
    void messagesComeBack() {
        for (Message m : all()) {
            assertEquals(m, Codec.decode(Codec.encode(m)));
        }
        Call c = (Call) Codec.decode(Codec.encode(new Call(1, 2, 3, "arg", new byte[] {1, 2})));
        assertEquals("arg", c.arg());
        assertArrayEquals(new byte[] {1, 2}, c.body());
        State s = (State) Codec.decode(Codec.encode(
                new State(1, 2, 3, List.of(new TakenOrder(4, 5)), List.of(new Mark(1, "z", 6, "on")), new byte[] {7})));
        assertEquals(List.of(new TakenOrder(4, 5)), s.past());
        assertEquals(List.of(new Mark(1, "z", 6, "on")), s.marks());
        News n = (News) Codec.decode(Codec.encode(new News(true, List.of(new Fact(1, "k", 2, 3, new byte[] {4})))));
        assertEquals("k", n.items().get(0).key());
    }

    @Test
    void cutMessagesAreRefusedAtEveryByte() {
        for (Message m : all()) {
            byte[] whole = Codec.encode(m);
            for (int cut = 0; cut < whole.length; cut++) {
                byte[] part = Arrays.copyOf(whole, cut);
                try {
                    assertNotEquals(m, Codec.decode(part), m + " cut at " + cut);
                } catch (IllegalArgumentException x) {
                    // as it should be
                }
            }
        }
    }

    private static FrameException.Reason refusal(byte[] bytes) {
        return assertThrows(FrameException.class, () -> Codec.decode(bytes)).reason();
    }

    /** A whole message with another number in its header: fixed length, template, schema, version, 16 bits each. */
    private static byte[] withHeader(int field, int value) {
        byte[] bytes = Codec.encode(new Synced(3, 4));
        bytes[2 * field] = (byte) value;
        bytes[2 * field + 1] = (byte) (value >> 8);
        return bytes;
    }

    @Test
    void foreignMessagesAreRefusedByType() {
        assertEquals(
                FrameException.Reason.FOREIGN_VERSION,
                refusal(withHeader(0, 8)),
                "a shorter fixed part would shift the rest");
        assertEquals(FrameException.Reason.UNKNOWN_TEMPLATE, refusal(withHeader(1, 999)));
        assertEquals(FrameException.Reason.FOREIGN_SCHEMA, refusal(withHeader(2, 42)));
        assertEquals(FrameException.Reason.FOREIGN_VERSION, refusal(withHeader(3, 2)));
        byte[] shortView = Codec.encode(VIEW);
        shortView[0] = Long.BYTES;
        assertEquals(
                FrameException.Reason.FOREIGN_VERSION,
                refusal(shortView),
                "the first version's length under the second");
        assertEquals(FrameException.Reason.GARBLED, refusal(new byte[3]));
    }

    /** What the first version of the schema left on a disk is read after an upgrade. */
    @Test
    void viewOfTheFirstVersionHasNoBase() {
        byte[] whole = Codec.encode(VIEW);
        int base = 2 * Long.BYTES;
        int header = 8;
        byte[] old = new byte[whole.length - base];
        System.arraycopy(whole, 0, old, 0, header + Long.BYTES);
        System.arraycopy(whole, header + Long.BYTES + base, old, header + Long.BYTES, old.length - header - Long.BYTES);
        old[0] = Long.BYTES;
        old[6] = 0;
        assertEquals(new View(VIEW.epoch(), VIEW.voters(), VIEW.chain()), Codec.decode(old));
    }

    @Test
    void whateverIsFlippedIsReadOrRefusedAndNothingElse() {
        List<Message> messages = new ArrayList<>(all());
        messages.add(new News(true, List.of(new Fact(1, "k", 2, 3, new byte[] {4}))));
        messages.add(
                new State(1, 2, 3, List.of(new TakenOrder(4, 5)), List.of(new Mark(1, "z", 6, "on")), new byte[] {7}));
        for (Message m : messages) {
            byte[] whole = Codec.encode(m);
            for (int at = 0; at < whole.length; at++) {
                for (int flip : new int[] {1, 0x7f, 0x80, 0xff}) {
                    byte[] flipped = whole.clone();
                    flipped[at] ^= (byte) flip;
                    try {
                        Codec.decode(flipped);
                    } catch (FrameException x) {
                        assertNotNull(x.reason());
                    }
                }
            }
        }
    }

    @Test
    void addressesAreChecked() {
        assertEquals("10.0.0.1:7000", A.toString());
        assertEquals(NodeId.of("10.0.0.1:80"), A.at(80));
        for (String bad :
                List.of("10.0.0:80", "10.0.0.256:80", "10.0.0.1:0", "10.0.0.1:65536", "a.b.c.d:1", "10.0.0.1")) {
            assertThrows(RuntimeException.class, () -> NodeId.of(bad), bad);
        }
    }
}
