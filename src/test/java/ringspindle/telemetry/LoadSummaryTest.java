package ringspindle.telemetry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import ringspindle.protocol.Codec;
import ringspindle.protocol.Message.EngineLoad;
import ringspindle.protocol.Message.HeartbeatRow;
import ringspindle.protocol.Message.RegionLoad;
import ringspindle.protocol.Message.Report;
import ringspindle.protocol.Message.TallyRow;
import ringspindle.protocol.NodeId;

/** Sums add in any order and grouping; collectors count the newest of each source once, whatever comes how often. */
class LoadSummaryTest {
    private static AttemptCounts tally(Random luck) {
        LatencyHistogram f = new LatencyHistogram(
                luck.nextInt(5), luck.nextInt(5), luck.nextInt(5), luck.nextInt(5), luck.nextInt(5), luck.nextInt(5));
        return new AttemptCounts(
                luck.nextInt(9), luck.nextInt(3), luck.nextInt(4), luck.nextInt(6), luck.nextInt(40_000), f);
    }

    static LoadSummary sum(Random luck) {
        LoadSummary out = LoadSummary.NONE;
        for (int i = luck.nextInt(6); i > 0; i--) {
            out = out.merge(LoadSummary.of(luck.nextInt(8), RequestKind.values()[luck.nextInt(3)], tally(luck)));
        }
        if (luck.nextBoolean()) {
            out = out.merge(LoadSummary.of(new Report(
                    0, 0, List.of(), List.of(new HeartbeatRow(luck.nextInt(8), luck.nextInt(3000))), List.of())));
        }
        return out;
    }

    @Test
    void addingIsCommutativeAssociativeAndHasAnIdentity() {
        Random luck = new Random(1);
        for (int i = 0; i < 2000; i++) {
            LoadSummary a = sum(luck);
            LoadSummary b = sum(luck);
            LoadSummary c = sum(luck);
            assertEquals(a.merge(b), b.merge(a));
            assertEquals(a.merge(b).merge(c), a.merge(b.merge(c)));
            assertEquals(a, a.merge(LoadSummary.NONE));
            assertEquals(a, LoadSummary.NONE.merge(a));
            assertEquals(a, LoadSummary.of((Report) Codec.decode(Codec.encode(a.toReport(3, 4)))), "over the wire");
        }
    }

    @Test
    void countsThatDoNotFitStayAtTheEndOfTheirField() {
        AttemptCounts many = new AttemptCounts(60_000, 0, 0, 0, 4_000_000_000L, LatencyHistogram.EMPTY);
        LoadSummary s = LoadSummary.of(1, RequestKind.SHORT, many).merge(LoadSummary.of(1, RequestKind.SHORT, many));
        Report back = (Report) Codec.decode(Codec.encode(s.toReport(1, 1)));
        assertEquals(65534, back.tallies().get(0).answered());
        assertEquals(4294967294L, back.tallies().get(0).tokens());
    }

    /** Whoever keeps sums of sources. */
    private interface Keeper {
        void take(NodeId source, Report r);

        LoadSummary sum();
    }

    /** A fleet's reports arrive late, twice, in any order or never; returns what the keeper says against what it should. */
    private static List<String> play(long seed, Keeper k) {
        Random luck = new Random(seed);
        List<String> wrong = new ArrayList<>();
        Map<NodeId, Report> newest = new TreeMap<>();
        List<Map.Entry<NodeId, Report>> sent = new ArrayList<>();
        long[] life = new long[12];
        long[] seq = new long[12];
        for (int step = 0; step < 300; step++) {
            int n = luck.nextInt(12);
            if (luck.nextInt(20) == 0) {
                // a restart: a new life, its numbers begin anew
                life[n]++;
                seq[n] = 0;
            }
            NodeId id = NodeId.of("10.0.0." + (n + 1) + ":7");
            sent.add(Map.entry(id, sum(luck).toReport(life[n], ++seq[n])));
            for (int i = luck.nextInt(4); i > 0; i--) {
                Map.Entry<NodeId, Report> e = sent.get(Math.max(0, sent.size() - 1 - luck.nextInt(30)));
                Report had = newest.get(e.getKey());
                Report r = e.getValue();
                if (had == null || r.life() > had.life() || r.life() == had.life() && r.seq() > had.seq()) {
                    newest.put(e.getKey(), r);
                }
                k.take(e.getKey(), r);
            }
            LoadSummary expected = LoadSummary.NONE;
            for (Report r : newest.values()) {
                expected = expected.merge(LoadSummary.of(r));
            }
            if (!expected.equals(k.sum())) {
                wrong.add("step " + step);
            }
        }
        return wrong;
    }

    @Test
    void collectorHoldsTheSumOfTheNewestWhateverCameHowOften() {
        for (long seed = 1; seed <= 30; seed++) {
            ReportCollector c = new ReportCollector(1000);
            assertEquals(
                    List.of(),
                    play(seed, new Keeper() {
                        @Override
                        public void take(NodeId source, Report r) {
                            c.accept(source, r, 0);
                        }

                        @Override
                        public LoadSummary sum() {
                            return c.sum(0);
                        }
                    }),
                    "seed " + seed);
        }
    }

    @Test
    void theCheckSeesAKeeperThatAddsWhateverComes() {
        LoadSummary[] all = {LoadSummary.NONE};
        assertFalse(play(1, new Keeper() {
                    @Override
                    public void take(NodeId source, Report r) {
                        all[0] = all[0].merge(LoadSummary.of(r));
                    }

                    @Override
                    public LoadSummary sum() {
                        return all[0];
                    }
                })
                .isEmpty());
    }

    @Test
    void sourceThatMovesCountsOnceAndOldReportsNeverComeBack() {
        NodeId a = NodeId.of("10.0.0.1:7");
        LoadSummary one =
                LoadSummary.of(1, RequestKind.LONG, new AttemptCounts(1, 0, 0, 1, 17_000, LatencyHistogram.EMPTY));
        ReportCollector first = new ReportCollector(2000);
        ReportCollector second = new ReportCollector(2000);
        first.accept(a, one.toReport(5, 1), 0);
        second.accept(a, one.toReport(5, 2), 100);
        // the two tell each other what they hold
        second.countedReports(100).forEach(s -> first.onReportedElsewhere(s.node(), s.life(), s.seq()));
        first.countedReports(100).forEach(s -> second.onReportedElsewhere(s.node(), s.life(), s.seq()));
        assertEquals(one, first.sum(100).merge(second.sum(100)));
        assertEquals(ReportVerdict.OLD, first.accept(a, one.toReport(5, 1), 200), "a late copy counts again");
        assertEquals(one, first.sum(200).merge(second.sum(200)));
        assertEquals(LoadSummary.NONE, second.sum(5000), "it outlives its time");
        assertEquals(ReportVerdict.OLD, second.accept(a, one.toReport(5, 2), 5100), "an expired report comes back");
        assertEquals(LoadSummary.NONE, second.sum(5100));
    }

    @Test
    void aRestartUnderAClockThatWentBackCountsAtOnce() {
        NodeId a = NodeId.of("10.0.0.1:7");
        LoadSummary one =
                LoadSummary.of(1, RequestKind.LONG, new AttemptCounts(1, 0, 0, 1, 17_000, LatencyHistogram.EMPTY));
        ReportCollector c = new ReportCollector(2000);
        c.accept(a, one.merge(one).toReport(9, 40), 0);
        assertEquals(
                ReportVerdict.OLD, c.accept(a, one.toReport(5, 1), 1000), "no session says that there is another life");
        c.onSessionOpened(a, 9);
        assertEquals(
                ReportVerdict.OLD,
                c.accept(a, one.toReport(9, 40), 1100),
                "a new session of the same life begins nothing anew");
        c.onSessionOpened(a, 5);
        assertEquals(LoadSummary.NONE, c.sum(1200), "what the earlier life said counts no more");
        assertEquals(ReportVerdict.NEWEST, c.accept(a, one.toReport(5, 1), 1200));
        assertEquals(one, c.sum(1200));
        // another collector holds what the earlier life said for no longer than a report counts
        ReportCollector other = new ReportCollector(2000);
        other.accept(a, one.toReport(9, 39), 0);
        other.countedReports(1200).forEach(s -> c.onReportedElsewhere(s.node(), s.life(), s.seq()));
        assertEquals(ReportVerdict.OLD, c.accept(a, one.toReport(5, 2), 1300), "it wins while it counts there");
        assertEquals(List.of(), other.countedReports(2001));
    }

    @Test
    void badReportsAreRefusedCountedAndChangeNothing() {
        NodeId a = NodeId.of("10.0.0.1:7");
        ReportCollector c = new ReportCollector(2000);
        LoadSummary one =
                LoadSummary.of(1, RequestKind.LONG, new AttemptCounts(1, 0, 0, 1, 17_000, LatencyHistogram.EMPTY));
        c.accept(a, one.toReport(5, 1), 0);
        Report garbled =
                new Report(5, 2, List.of(new TallyRow(1, 9, 1, 1, 1, 1, 1, 0, 0, 0, 0, 0, 0)), List.of(), List.of());
        assertEquals(ReportVerdict.GARBLED, c.accept(a, garbled, 1));
        assertEquals(
                ReportVerdict.GARBLED,
                c.accept(a, new Report(5, 3, List.of(), List.of(new HeartbeatRow(1, -4)), List.of()), 1));
        List<HeartbeatRow> many = new ArrayList<>();
        for (int i = 0; i <= LoadSummary.MAX_ROWS; i++) {
            many.add(new HeartbeatRow(i, 1));
        }
        assertEquals(ReportVerdict.OVERSIZED, c.accept(a, new Report(5, 4, List.of(), many, List.of()), 1));
        assertEquals(ReportVerdict.OLD, c.accept(a, one.merge(one).toReport(4, 9), 1), "a sum of an earlier life");
        assertEquals(2, c.count(ReportVerdict.GARBLED));
        assertEquals(1, c.count(ReportVerdict.OVERSIZED));
        assertEquals(one, c.sum(1));
    }

    @Test
    void regionsAreSummedByServiceWithTheirRoom() {
        LoadSummary s = LoadSummary.of(1, RequestKind.SHORT, new AttemptCounts(4, 0, 1, 3, 90, LatencyHistogram.EMPTY))
                .merge(LoadSummary.of(2, RequestKind.LONG, new AttemptCounts(0, 0, 0, 70, 9, LatencyHistogram.EMPTY)));
        List<RegionLoad> r = LoadTotals.byService(
                s,
                List.of(
                        new LoadTotals.Member(1, "s", "a", 32),
                        new LoadTotals.Member(2, "s", "a", 32),
                        new LoadTotals.Member(3, "s", "a", 32),
                        new LoadTotals.Member(4, "t", "a", 6),
                        new LoadTotals.Member(5, "s", "b", 32)),
                "a");
        assertEquals(List.of(new RegionLoad("a", "s", 3, 61, 73, 4, 1), new RegionLoad("a", "t", 1, 6, 0, 0, 0)), r);
        assertEquals(List.of(new EngineLoad(1, 4, 1, 3, 90), new EngineLoad(2, 0, 0, 70, 9)), LoadTotals.byEngine(s));
    }
}
