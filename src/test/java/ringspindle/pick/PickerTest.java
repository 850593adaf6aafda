package ringspindle.pick;

import static java.nio.charset.StandardCharsets.*;
import static org.junit.jupiter.api.Assertions.*;

import java.util.*;
import org.junit.jupiter.api.*;
import ringspindle.act.Action.*;
import ringspindle.conf.*;
import ringspindle.pick.Picker.*;
import ringspindle.wire.Msg.*;

/** Who may be asked, and that shares summed over nodes keep their bounds in every sliding window. */
class PickerTest {
    private static Picker picker(String zone, String region) {
        Properties p = new Properties();
        p.putAll(Map.of("node.name", "n", "node.ip", "10.0.0.1", "node.zone", zone, "node.region", region, "listen.inner", "7000",
                "seeds", "10.0.0.9:80", "zone.a1", "a", "zone.b1", "b", "bound.retryRatio", "0.2"));
        p.putAll(Map.of("bound.retrySlack", "50", "bound.retryWindowS", "10", "bound.warmupOverrun", "1.5", "bound.warmupSlack", "5"));
        Picker out = Picker.create(((Checked.Good<NodeConfig>) NodeConfig.check(p)).value());
        String json = "{\"revision\":1,\"routes\":[],\"services\":[{\"name\":\"s\",\"maxConnections\":100,\"warmupS\":3,\"warmupPerS\":20}]}";
        out.config(((Checked.Good<FleetConfig>) FleetConfig.read(json.getBytes(UTF_8))).value());
        return out;
    }

    private static Engine engine(String zone, int n, int coldMs, boolean draining) {
        return new Engine(64, coldMs, draining, -1, 1, "s", "10.1.0." + n + ":80", zone, "v");
    }

    private static Ask ask(Set<String> homes, Set<String> tried, long weights) {
        return new Ask("s", homes, 0, 0, 100, 50, tried, weights, 5);
    }

    private static Ask any() {
        return ask(Set.of(), Set.of(), -1);
    }

    private static String id(Choice c) {
        return c instanceof Chosen x ? x.id() : "none";
    }

    @Test
    void homesDrainsEvacuationsTurnsAndWeightsBind() {
        Picker p = picker("a1", "a");
        p.licence(new Licence(1, 1, 100_000, 0), 0);
        p.engine("i-a", engine("a1", 1, 0, false), 1, 0);
        p.engine("i-b", engine("b1", 2, 0, false), 1, 0);
        assertEquals("i-a", id(p.choose(any(), 10)));
        assertEquals("i-b", id(p.choose(ask(Set.of("b"), Set.of(), -1), 10)));
        assertEquals("i-b", id(p.choose(ask(Set.of(), Set.of("i-a"), -1), 10)));
        assertEquals("none", id(p.choose(ask(Set.of(), Set.of(), 2), 10)));
        p.turn("s", Set.of("i-a"), 20);
        assertEquals("i-b", id(p.choose(any(), 30)));
        p.evacuated("b1", true, 40);
        assertEquals("none", id(p.choose(any(), 50)));
        p.turn("s", Set.of(), 60);
        assertEquals("i-a", id(p.choose(any(), 2000)));
        p.engine("i-a", engine("a1", 1, 0, true), 2, 2100);
        assertEquals("none", id(p.choose(any(), 2200)));
        p.evacuated("b1", false, 2300);
        p.leaving("i-b", false, 2400);
        assertEquals("none", id(p.choose(any(), 9000)));
    }

    @Test
    void consumerCancelsNeverMakeAnEngineSuspect() {
        Picker p = picker("a1", "a");
        p.engine("i-a", engine("a1", 1, 0, false), 1, 0);
        for (int i = 0; i < 50; i++) {
            assertEquals("i-a", id(p.choose(any(), 100 + i)));
            p.sent("i-a", 100 + i);
            p.ended("i-a", any(), End.PARENT_ENDED, -1, 101 + i);
        }
        assertEquals(List.of(), p.probes(500));
    }

    @Test
    void silenceMakesAnEngineSuspectUntilAProbeSaysOtherwise() {
        Picker p = picker("a1", "a");
        p.engine("i-a", engine("a1", 1, 0, false), 1, 0);
        p.choose(any(), 0);
        p.sent("i-a", 0);
        assertEquals(List.of(), p.probes(500));
        assertEquals(1, p.probes(2500).size());
        assertEquals("none", id(p.choose(any(), 2600)));
        p.probed("i-a", true, 0, 2700);
        assertEquals("i-a", id(p.choose(any(), 2800)));
    }

    @Test
    void furtherTriesOfAllNodesStayWithinTheBudget() {
        for (long seed = 1; seed <= 10; seed++) {
            Random luck = new Random(seed);
            int nodes = 9;
            List<Picker> all = new ArrayList<>();
            for (int i = 0; i < nodes; i++) {
                all.add(picker("a1", "a"));
            }
            List<Long> tries = new ArrayList<>();
            List<Long> asked = new ArrayList<>();
            for (long nowMs = 0; nowMs < 60_000; nowMs += 20) {
                long at = nowMs;
                if (nowMs % 1000 == 0) {
                    all.forEach(x -> x.licence(new Licence(1, nodes, 3000, 0), at));
                }
                Picker p = all.get(luck.nextInt(nodes));
                p.asked("s", nowMs);
                asked.add(nowMs);
                for (int i = 0; i < 2; i++) {
                    if (p.takeRetry("s", nowMs)) {
                        tries.add(nowMs);
                    }
                }
            }
            for (long from = 0; from < 50_000; from += 500) {
                long f = from;
                long t = tries.stream().filter(x -> x >= f && x < f + 10_000).count();
                long a = asked.stream().filter(x -> x >= f && x < f + 10_000).count();
                assertTrue(t <= 0.2 * a + 50, "seed " + seed + ": " + t + " tries on " + a + " in the window from " + f);
            }
            assertTrue(tries.size() > 50, "the budget is hardly used: " + tries.size());
        }
    }

    @Test
    void withoutALicenceOnlyWhatOwnRequestsEarn() {
        Picker p = picker("a1", "a");
        p.licence(new Licence(1, 9, 3000, 0), 0);
        assertTrue(p.takeRetry("s", 100));
        assertFalse(picker("a1", "a").takeRetry("s", 100));
        for (int i = 0; i < 100; i++) {
            assertFalse(p.takeRetry("s", 20_000 + i), "a licence that ran out still grants");
        }
    }

    @Test
    void coldEngineGetsNoMoreThanItBearsInAnySecond() {
        int nodes = 9;
        List<Picker> all = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            Picker p = picker("a1", "a");
            p.licence(new Licence(1, nodes, 100_000, 0), 0);
            p.engine("i-a", engine("a1", 1, 20_000, false), 1, 0);
            all.add(p);
        }
        List<Long> sent = new ArrayList<>();
        for (long nowMs = 0; nowMs < 15_000; nowMs += 5) {
            for (Picker p : all) {
                if (p.choose(any(), nowMs) instanceof Chosen) {
                    sent.add(nowMs);
                    p.ended("i-a", any(), End.ANSWERED, 10, nowMs);
                }
            }
        }
        for (long from = 0; from < 14_000; from += 50) {
            long f = from;
            long n = sent.stream().filter(x -> x >= f && x < f + 1000).count();
            assertTrue(n <= 20 * 1.5 + 5, n + " in the second from " + f);
        }
        assertTrue(sent.size() > 100, "a cold engine gets hardly anything: " + sent.size());
    }

    @Test
    void oneHeadOfPromptsLivesAtOneEngineForAllNodes() {
        Set<String> where = new HashSet<>();
        for (int n = 0; n < 6; n++) {
            Picker p = picker(n % 2 == 0 ? "a1" : "b1", n % 2 == 0 ? "a" : "b");
            for (int i = 1; i <= 6; i++) {
                p.engine("i-" + i, engine(i % 2 == 0 ? "a1" : "b1", i, 0, false), 1, 0);
            }
            where.add(id(p.choose(new Ask("s", Set.of(), 4711, 13_000, 3000, 100, Set.of(), -1, n), 10)));
        }
        assertEquals(1, where.size(), where.toString());
    }
}
