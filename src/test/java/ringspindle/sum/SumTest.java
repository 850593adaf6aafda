package ringspindle.sum;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import ringspindle.wire.Codec;
import ringspindle.wire.Msg.EngineLoad;
import ringspindle.wire.Msg.HeartbeatRow;
import ringspindle.wire.Msg.RegionLoad;
import ringspindle.wire.Msg.Report;
import ringspindle.wire.Msg.TallyRow;
import ringspindle.wire.NodeId;

/** Sums add in any order and grouping; collectors count the newest of each source once, whatever comes how often. */
class SumTest {
    private static Tally tally(Random luck) {
        int[] f = new int[Tally.BUCKET_MS.length];
        for (int i = 0; i < f.length; i++) {
            f[i] = luck.nextInt(5);
        }
        return new Tally(luck.nextInt(9), luck.nextInt(3), luck.nextInt(4), luck.nextInt(6), luck.nextInt(40_000), f);
    }

    static Sum sum(Random luck) {
        Sum out = Sum.NONE;
        for (int i = luck.nextInt(6); i > 0; i--) {
            out = out.merge(Sum.of(luck.nextInt(8), Kind.values()[luck.nextInt(3)], tally(luck)));
        }
        if (luck.nextBoolean()) {
            out = out.merge(Sum.of(new Report(
                    0, 0, List.of(), List.of(new HeartbeatRow(luck.nextInt(8), luck.nextInt(3000))), List.of())));
        }
        return out;
    }

    @Test
    void addingIsCommutativeAssociativeAndHasAnIdentity() {
        Random luck = new Random(1);
        for (int i = 0; i < 2000; i++) {
            Sum a = sum(luck);
            Sum b = sum(luck);
            Sum c = sum(luck);
            assertEquals(a.merge(b), b.merge(a));
            assertEquals(a.merge(b).merge(c), a.merge(b.merge(c)));
            assertEquals(a, a.merge(Sum.NONE));
            assertEquals(a, Sum.NONE.merge(a));
            assertEquals(a, Sum.of((Report) Codec.decode(Codec.encode(a.report(3, 4)))), "over the wire");
        }
    }

    @Test
    void countsThatDoNotFitStayAtTheEndOfTheirField() {
        Tally many = new Tally(60_000, 0, 0, 0, 4_000_000_000L, new int[6]);
        Sum s = Sum.of(1, Kind.SHORT, many).merge(Sum.of(1, Kind.SHORT, many));
        Report back = (Report) Codec.decode(Codec.encode(s.report(1, 1)));
        assertEquals(65534, back.tallies().get(0).answered());
        assertEquals(4294967294L, back.tallies().get(0).tokens());
    }

    /** Whoever keeps sums of sources. */
    private interface Keeper {
        void take(NodeId source, Report r);

        Sum sum();
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
            sent.add(Map.entry(id, sum(luck).report(life[n], ++seq[n])));
            for (int i = luck.nextInt(4); i > 0; i--) {
                Map.Entry<NodeId, Report> e = sent.get(Math.max(0, sent.size() - 1 - luck.nextInt(30)));
                Report had = newest.get(e.getKey());
                Report r = e.getValue();
                if (had == null || r.life() > had.life() || r.life() == had.life() && r.seq() > had.seq()) {
                    newest.put(e.getKey(), r);
                }
                k.take(e.getKey(), r);
            }
            Sum expected = Sum.NONE;
            for (Report r : newest.values()) {
                expected = expected.merge(Sum.of(r));
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
            Collector c = new Collector(1000);
            assertEquals(
                    List.of(),
                    play(seed, new Keeper() {
                        @Override
                        public void take(NodeId source, Report r) {
                            c.take(source, r, 0);
                        }

                        @Override
                        public Sum sum() {
                            return c.sum(0);
                        }
                    }),
                    "seed " + seed);
        }
    }

    @Test
    void theCheckSeesAKeeperThatAddsWhateverComes() {
        Sum[] all = {Sum.NONE};
        assertFalse(play(1, new Keeper() {
                    @Override
                    public void take(NodeId source, Report r) {
                        all[0] = all[0].merge(Sum.of(r));
                    }

                    @Override
                    public Sum sum() {
                        return all[0];
                    }
                })
                .isEmpty());
    }

    @Test
    void sourceThatMovesCountsOnceAndOldReportsNeverComeBack() {
        NodeId a = NodeId.of("10.0.0.1:7");
        Sum one = Sum.of(1, Kind.LONG, new Tally(1, 0, 0, 1, 17_000, new int[6]));
        Collector first = new Collector(2000);
        Collector second = new Collector(2000);
        first.take(a, one.report(5, 1), 0);
        second.take(a, one.report(5, 2), 100);
        // the two tell each other what they hold
        second.holds(100).forEach(s -> first.leave(s.node(), s.life(), s.seq()));
        first.holds(100).forEach(s -> second.leave(s.node(), s.life(), s.seq()));
        assertEquals(one, first.sum(100).merge(second.sum(100)));
        assertEquals(Taken.OLD, first.take(a, one.report(5, 1), 200), "a late copy counts again");
        assertEquals(one, first.sum(200).merge(second.sum(200)));
        assertEquals(Sum.NONE, second.sum(5000), "it outlives its time");
        assertEquals(Taken.OLD, second.take(a, one.report(5, 2), 5100), "an expired report comes back");
        assertEquals(Sum.NONE, second.sum(5100));
    }

    @Test
    void aRestartUnderAClockThatWentBackCountsAtOnce() {
        NodeId a = NodeId.of("10.0.0.1:7");
        Sum one = Sum.of(1, Kind.LONG, new Tally(1, 0, 0, 1, 17_000, new int[6]));
        Collector c = new Collector(2000);
        c.take(a, one.merge(one).report(9, 40), 0);
        assertEquals(Taken.OLD, c.take(a, one.report(5, 1), 1000), "no session says that there is another life");
        c.restarted(a, 9);
        assertEquals(
                Taken.OLD, c.take(a, one.report(9, 40), 1100), "a new session of the same life begins nothing anew");
        c.restarted(a, 5);
        assertEquals(Sum.NONE, c.sum(1200), "what the earlier life said counts no more");
        assertEquals(Taken.NEWEST, c.take(a, one.report(5, 1), 1200));
        assertEquals(one, c.sum(1200));
        // another collector holds what the earlier life said for no longer than a report counts
        Collector other = new Collector(2000);
        other.take(a, one.report(9, 39), 0);
        other.holds(1200).forEach(s -> c.leave(s.node(), s.life(), s.seq()));
        assertEquals(Taken.OLD, c.take(a, one.report(5, 2), 1300), "it wins while it counts there");
        assertEquals(List.of(), other.holds(2001));
    }

    @Test
    void badReportsAreRefusedCountedAndChangeNothing() {
        NodeId a = NodeId.of("10.0.0.1:7");
        Collector c = new Collector(2000);
        Sum one = Sum.of(1, Kind.LONG, new Tally(1, 0, 0, 1, 17_000, new int[6]));
        c.take(a, one.report(5, 1), 0);
        Report garbled =
                new Report(5, 2, List.of(new TallyRow(1, 9, 1, 1, 1, 1, 1, 0, 0, 0, 0, 0, 0)), List.of(), List.of());
        assertEquals(Taken.GARBLED, c.take(a, garbled, 1));
        assertEquals(
                Taken.GARBLED, c.take(a, new Report(5, 3, List.of(), List.of(new HeartbeatRow(1, -4)), List.of()), 1));
        List<HeartbeatRow> many = new ArrayList<>();
        for (int i = 0; i <= Sum.ROWS_MAX; i++) {
            many.add(new HeartbeatRow(i, 1));
        }
        assertEquals(Taken.OVERSIZED, c.take(a, new Report(5, 4, List.of(), many, List.of()), 1));
        assertEquals(Taken.OLD, c.take(a, one.merge(one).report(4, 9), 1), "a sum of an earlier life");
        assertEquals(2, c.count(Taken.GARBLED));
        assertEquals(1, c.count(Taken.OVERSIZED));
        assertEquals(one, c.sum(1));
    }

    @Test
    void regionsAreSummedByServiceWithTheirRoom() {
        Sum s = Sum.of(1, Kind.SHORT, new Tally(4, 0, 1, 3, 90, new int[6]))
                .merge(Sum.of(2, Kind.LONG, new Tally(0, 0, 0, 70, 9, new int[6])));
        List<RegionLoad> r = Totals.region(
                s,
                List.of(
                        new Totals.Member(1, "s", "a", 32),
                        new Totals.Member(2, "s", "a", 32),
                        new Totals.Member(3, "s", "a", 32),
                        new Totals.Member(4, "t", "a", 6),
                        new Totals.Member(5, "s", "b", 32)),
                "a");
        assertEquals(List.of(new RegionLoad("a", "s", 3, 61, 73, 4, 1), new RegionLoad("a", "t", 1, 6, 0, 0, 0)), r);
        assertEquals(List.of(new EngineLoad(1, 4, 1, 3, 90), new EngineLoad(2, 0, 0, 70, 9)), Totals.engines(s));
    }
}
