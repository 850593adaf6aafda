package ringspindle.protocol;

import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ringspindle.protocol.Message.Accept;
import ringspindle.protocol.Message.Accepted;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.Confirm;
import ringspindle.protocol.Message.Confirmed;
import ringspindle.protocol.Message.CounterAdd;
import ringspindle.protocol.Message.CounterAdds;
import ringspindle.protocol.Message.CounterPosition;
import ringspindle.protocol.Message.CounterSnapshot;
import ringspindle.protocol.Message.CounterTotal;
import ringspindle.protocol.Message.CounterVector;
import ringspindle.protocol.Message.Decided;
import ringspindle.protocol.Message.Digest;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.Message.EngineLoad;
import ringspindle.protocol.Message.Entry;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.Heartbeat;
import ringspindle.protocol.Message.HeartbeatRow;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.Message.Install;
import ringspindle.protocol.Message.Lease;
import ringspindle.protocol.Message.LedgerReport;
import ringspindle.protocol.Message.LedgerRow;
import ringspindle.protocol.Message.Load;
import ringspindle.protocol.Message.Mark;
import ringspindle.protocol.Message.News;
import ringspindle.protocol.Message.Op;
import ringspindle.protocol.Message.OutcomeRow;
import ringspindle.protocol.Message.Outcomes;
import ringspindle.protocol.Message.Pledge;
import ringspindle.protocol.Message.Position;
import ringspindle.protocol.Message.Prepare;
import ringspindle.protocol.Message.RegionLoad;
import ringspindle.protocol.Message.Relearn;
import ringspindle.protocol.Message.Relearned;
import ringspindle.protocol.Message.Reply;
import ringspindle.protocol.Message.Report;
import ringspindle.protocol.Message.SourceRow;
import ringspindle.protocol.Message.State;
import ringspindle.protocol.Message.Synced;
import ringspindle.protocol.Message.TakenOrder;
import ringspindle.protocol.Message.TallyRow;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.Message.Vote;

/** Every message once with ordinary values, once with the largest and once with the smallest ones. */
final class GoldenMessages {
    private static final long MAX = Long.MAX_VALUE;
    private static final long MIN = Long.MIN_VALUE;
    private static final int INT_MAX = Integer.MAX_VALUE;
    private static final int INT_MIN = Integer.MIN_VALUE;
    private static final int UINT8_MAX = 255;
    private static final int UINT16_MAX = 65535;
    private static final long UINT32_MAX = 4294967295L;
    private static final String TEXT = "Größe 東 \uD83C\uDF00";
    private static final String LONG_TEXT = "x".repeat(300);

    private static final NodeId A = NodeId.of("10.0.0.1:7000");
    private static final NodeId B = NodeId.of("10.0.0.2:7000");
    private static final NodeId LAST = NodeId.of("255.255.255.255:65535");
    private static final View VIEW = new View(4, List.of(A, B, LAST), List.of(B, A), new Position(3, 17));
    private static final View WIDE = new View(MAX, nodes(9), nodes(9), new Position(MAX, MAX));
    private static final View EMPTY = new View(0, List.of(), List.of());

    private final Map<String, Message> messages = new LinkedHashMap<>();

    private GoldenMessages() {}

    static Map<String, Message> all() {
        GoldenMessages golden = new GoldenMessages();
        golden.sessions();
        golden.consensus();
        golden.replication();
        golden.operations();
        golden.gossip();
        golden.telemetry();
        golden.ledgers();
        golden.outcomes();
        golden.counters();
        golden.messages.putAll(GoldenBatchMessages.all());
        return golden.messages;
    }

    private static List<NodeId> nodes(int count) {
        NodeId[] nodes = new NodeId[count];
        Arrays.setAll(nodes, index -> new NodeId(LAST.bits() - index));
        return List.of(nodes);
    }

    private static byte[] bytes(int length) {
        byte[] bytes = new byte[length];
        for (int i = 0; i < length; i++) {
            bytes[i] = (byte) (i * 7 - 3);
        }
        return bytes;
    }

    private void add(Message ordinary, Message largest, Message smallest) {
        String name = ordinary.getClass().getSimpleName();
        messages.put(name + ".ordinary", ordinary);
        messages.put(name + ".largest", largest);
        messages.put(name + ".smallest", smallest);
    }

    private void counters() {
        CounterAdd add = new CounterAdd(-7, 12, "t3", "5c0e7a21d94b36f8", 4);
        CounterAdd longest = new CounterAdd(MAX, MAX, TEXT, LONG_TEXT, MIN);
        add(
                new CounterAdds(List.of(add, new CounterAdd(-7, 13, "t3", "5c0e", -1))),
                new CounterAdds(Collections.nCopies(3, longest)),
                new CounterAdds(List.of()));
        CounterPosition position = new CounterPosition(-7, 12);
        CounterPosition most = new CounterPosition(MAX, MAX);
        add(
                new CounterVector(-7, false, true, List.of(position)),
                new CounterVector(MAX, true, true, Collections.nCopies(300, most)),
                new CounterVector(MIN, false, false, List.of()));
        add(
                new CounterSnapshot(-7, List.of(position), List.of(new CounterTotal("t3", "1873"))),
                new CounterSnapshot(
                        MAX,
                        Collections.nCopies(300, most),
                        Collections.nCopies(3, new CounterTotal(LONG_TEXT, "-" + "9".repeat(40)))),
                new CounterSnapshot(MIN, List.of(), List.of()));
    }

    private void sessions() {
        add(
                new Hello(A, 1764660000123L, 1, B.bits(), "node-1", "ahd-1", "ahd"),
                new Hello(LAST, MAX, UINT8_MAX, MAX, TEXT, LONG_TEXT, TEXT),
                new Hello(new NodeId(0), MIN, 0, MIN, "", "", ""));
        add(
                new Heartbeat(41, 40, NodeFlags.of(5), 3, 17, -9, List.of(A, B)),
                new Heartbeat(MAX, MAX, NodeFlags.of(UINT8_MAX), MAX, MAX, MAX, nodes(300)),
                new Heartbeat(0, -1, NodeFlags.of(0), MIN, MIN, MIN, List.of()));
        add(new Lease(3, 9, 3000), new Lease(MAX, INT_MAX, INT_MAX), new Lease(MIN, INT_MIN, INT_MIN));
    }

    private void consensus() {
        add(VIEW, WIDE, EMPTY);
        add(new Prepare(5, 1025, VIEW), new Prepare(MAX, MAX, WIDE), new Prepare(MIN, MIN, null));
        add(
                new Pledge(5, 1025, true, 1025, 1024, 4, 17, VIEW, EMPTY),
                new Pledge(MAX, MAX, true, MAX, MAX, MAX, MAX, WIDE, WIDE),
                new Pledge(MIN, MIN, false, MIN, MIN, MIN, MIN, null, null));
        add(new Accept(5, 1025, VIEW), new Accept(MAX, MAX, WIDE), new Accept(MIN, MIN, null));
        add(new Accepted(5, 1025, true, 1025), new Accepted(MAX, MAX, true, MAX), new Accepted(MIN, MIN, false, MIN));
        add(new Decided(VIEW), new Decided(WIDE), new Decided(null));
        add(new Relearn(8), new Relearn(MAX), new Relearn(MIN));
        add(
                new Relearned(8, 5, 1025, 1024, VIEW, EMPTY),
                new Relearned(MAX, MAX, MAX, MAX, WIDE, WIDE),
                new Relearned(MIN, MIN, MIN, MIN, null, null));
        add(
                new Vote(5, 1025, 1024, VIEW, EMPTY),
                new Vote(MAX, MAX, MAX, WIDE, WIDE),
                new Vote(MIN, MIN, MIN, null, null));
    }

    private void replication() {
        add(new Install(4, 17, bytes(20)), new Install(MAX, MAX, bytes(700)), new Install(MIN, MIN, bytes(0)));
        add(new Entry(4, 17, bytes(20)), new Entry(MAX, MAX, bytes(700)), new Entry(MIN, MIN, bytes(0)));
        add(new Synced(4, 17), new Synced(MAX, MAX), new Synced(MIN, MIN));
        add(new Confirm(4, 99), new Confirm(MAX, MAX), new Confirm(MIN, MIN));
        add(new Confirmed(4, 99, true), new Confirmed(MAX, MAX, true), new Confirmed(MIN, MIN, false));
        add(
                new State(
                        4,
                        17,
                        2,
                        List.of(new TakenOrder(1, -5), new TakenOrder(-1, 7)),
                        List.of(new Mark(1, "ahd-1", 16, "on"), new Mark(3, "chat", 17, "{}")),
                        bytes(40)),
                new State(
                        MAX,
                        MAX,
                        MAX,
                        List.of(new TakenOrder(MAX, MAX)),
                        List.of(new Mark(UINT8_MAX, TEXT, MAX, LONG_TEXT)),
                        bytes(700)),
                new State(MIN, MIN, MIN, List.of(), List.of(), bytes(0)));
    }

    private void operations() {
        add(
                new Call(12, 3, 16, "ahd-1", bytes(5)),
                new Call(MAX, UINT8_MAX, MAX, LONG_TEXT, bytes(700)),
                new Call(MIN, 0, MIN, "", bytes(0)));
        add(new Reply(12, 5, bytes(5)), new Reply(MAX, UINT8_MAX, bytes(700)), new Reply(MIN, 0, bytes(0)));
        add(
                new Op(1, 1, 2, -77, "chat", bytes(5)),
                new Op(UINT8_MAX, MAX, MAX, MAX, TEXT, bytes(700)),
                new Op(0, MIN, MIN, MIN, "", bytes(0)));
    }

    private void gossip() {
        add(
                new News(true, List.of(new Fact(4, "i-1", 0, 7, bytes(12)), new Fact(1, "", 3, 2, bytes(0)))),
                new News(true, List.of(new Fact(UINT8_MAX, TEXT, MAX, MAX, bytes(700)))),
                new News(false, List.of()));
        add(
                new Digest(new long[] {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}),
                new Digest(new long[] {MAX, MIN, -1}),
                new Digest(new long[0]));
        add(
                new Engine(64, 1500, true, 2500, 7, "chat", "10.0.1.5:80", "srt-2", "r2"),
                new Engine(INT_MAX, INT_MAX, true, INT_MAX, MAX, TEXT, LONG_TEXT, TEXT, TEXT),
                new Engine(INT_MIN, INT_MIN, false, INT_MIN, MIN, "", "", "", ""));
    }

    private void telemetry() {
        add(
                new Report(
                        100,
                        2,
                        List.of(
                                new TallyRow(-5, 2, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11),
                                new TallyRow(6, 1, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22)),
                        List.of(new HeartbeatRow(9, 1200), new HeartbeatRow(-10, 0)),
                        List.of(new SourceRow(A, 3, 4))),
                new Report(
                        MAX,
                        MAX,
                        List.of(new TallyRow(
                                MAX,
                                UINT8_MAX,
                                UINT16_MAX,
                                UINT16_MAX,
                                UINT16_MAX,
                                UINT16_MAX,
                                UINT32_MAX,
                                UINT16_MAX,
                                UINT16_MAX,
                                UINT16_MAX,
                                UINT16_MAX,
                                UINT16_MAX,
                                UINT16_MAX)),
                        List.of(new HeartbeatRow(MAX, INT_MAX)),
                        List.of(new SourceRow(LAST, MAX, MAX))),
                new Report(MIN, MIN, List.of(), List.of(), List.of()));
        add(
                new Load(
                        100,
                        2,
                        List.of(new EngineLoad(7, 1, 2, 3, 4), new EngineLoad(-8, 5, 6, 7, 8)),
                        List.of(
                                new RegionLoad("ahd", "chat", 1, 2, 3, 4, 5),
                                new RegionLoad("srt", "chat", 6, 7, 8, 9, 10))),
                new Load(
                        MAX,
                        MAX,
                        List.of(new EngineLoad(MAX, UINT16_MAX, UINT16_MAX, UINT16_MAX, UINT32_MAX)),
                        List.of(new RegionLoad(TEXT, LONG_TEXT, UINT16_MAX, INT_MAX, INT_MAX, INT_MAX, INT_MAX))),
                new Load(MIN, MIN, List.of(), List.of()));
    }

    private void outcomes() {
        add(
                new Outcomes(
                        1,
                        2,
                        3,
                        "ahd",
                        List.of(new SourceRow(A, 4, 5), new SourceRow(B, 6, 7)),
                        List.of(new OutcomeRow(0, 1, 31, 200, 3, 41_000), new OutcomeRow(1, 0, 0, 4, 0, 5))),
                new Outcomes(
                        MAX,
                        MAX,
                        MAX,
                        LONG_TEXT,
                        List.of(new SourceRow(LAST, MAX, MAX)),
                        List.of(new OutcomeRow(UINT8_MAX, UINT8_MAX, UINT8_MAX, UINT32_MAX, UINT32_MAX, MAX))),
                new Outcomes(MIN, MIN, MIN, "", List.of(), List.of()));
    }

    private void ledgers() {
        add(
                new LedgerReport(
                        1,
                        2,
                        3,
                        -4,
                        5,
                        List.of(
                                new LedgerRow(3, 9, 1, 2, 4, 6, 7, 8, 10, 11, 12, 13, 14, "digests"),
                                new LedgerRow(2, 20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30, 31, "plain"))),
                new LedgerReport(
                        MAX,
                        MAX,
                        MAX,
                        MAX,
                        MAX,
                        List.of(new LedgerRow(
                                MAX, MAX, INT_MAX, MAX, MAX, MAX, INT_MAX, MAX, MAX, MAX, MAX, MAX, INT_MAX, TEXT))),
                new LedgerReport(MIN, MIN, MIN, MIN, MIN, List.of()));
    }
}
