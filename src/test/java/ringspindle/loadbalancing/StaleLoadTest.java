package ringspindle.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;
import ringspindle.loadbalancing.LoadBalancer.SelectionRequest;
import ringspindle.protocol.Message.EngineLoad;
import ringspindle.protocol.Message.Lease;
import ringspindle.protocol.Message.Load;
import ringspindle.retry.AttemptOutcome;
import ringspindle.telemetry.EngineKey;

/** Many nodes that know of each other's load a second late: no engine gets more than it runs at a time while others are idle. */
class StaleLoadTest {
    private static final int NODES = 60;
    private static final int ENGINES = 40;
    /** A quarter of what the engines run at a time, on average. */
    private static final int PLACES = 16;

    private static final int RUN_MS = 640;
    private static final int SUMS_PERIOD_MS = 1000;
    private static final int DAY_MS = 12_000;
    private static final double ARRIVALS_PER_MS = 0.25 * ENGINES * PLACES / RUN_MS;

    /** A request that runs. */
    private record Run(int node, String engine, long endMs) {}

    /** Nodes before engines that all run what they are sent at once. */
    private static final class Fleet {
        private final Random random;
        private final List<LoadBalancer> nodes = new ArrayList<>();
        private final PriorityQueue<Run> runs = new PriorityQueue<>(Comparator.comparingLong(Run::endMs));
        private final Map<String, Integer> running = new HashMap<>();
        private int most;

        /** A fleet whose nodes are told that so many share the engines. */
        Fleet(long seed, int nodesTold) {
            random = new Random(seed);
            for (int node = 0; node < NODES; node++) {
                LoadBalancer loadBalancer = LoadBalancers.create("n" + node, "a1", "a");
                loadBalancer.updateLease(new Lease(1, nodesTold, 10 * DAY_MS), 0);
                for (int engine = 1; engine <= ENGINES; engine++) {
                    loadBalancer.updateEngine("i-" + engine, LoadBalancers.engine("a1", engine, 0, false), 1, 0);
                }
                nodes.add(loadBalancer);
            }
        }

        int mostAtOneEngine() {
            for (long nowMs = 10_000; nowMs < 10_000 + DAY_MS; nowMs++) {
                end(nowMs);
                if (nowMs % SUMS_PERIOD_MS == 0) {
                    tellSums(nowMs);
                }
                if (random.nextDouble() < ARRIVALS_PER_MS) {
                    start(nowMs);
                }
            }
            return most;
        }

        private SelectionRequest request() {
            return SelectionRequests.of("s")
                    .prompt(0, 0, 300)
                    .output(270)
                    .random(random.nextLong())
                    .build();
        }

        private void start(long nowMs) {
            int node = random.nextInt(NODES);
            String engine = LoadBalancers.id(nodes.get(node).select(request(), nowMs));
            runs.add(new Run(node, engine, nowMs + RUN_MS / 2 + random.nextInt(RUN_MS)));
            most = Math.max(most, running.merge(engine, 1, Integer::sum));
        }

        private void end(long nowMs) {
            while (!runs.isEmpty() && runs.peek().endMs() <= nowMs) {
                Run run = runs.poll();
                running.merge(run.engine(), -1, Integer::sum);
                nodes.get(run.node()).onAttemptEnded(run.engine(), request(), AttemptOutcome.ANSWERED, 20, nowMs);
            }
        }

        private void tellSums(long nowMs) {
            List<EngineLoad> rows = new ArrayList<>();
            running.forEach(
                    (engine, count) -> rows.add(new EngineLoad(EngineKey.of(engine), count, 0, count, count * 570L)));
            for (LoadBalancer node : nodes) {
                node.summarizeLoad(nowMs);
                node.updateRegionLoad(new Load(1, nowMs, rows, List.of()), nowMs);
            }
        }
    }

    @Test
    void noEngineIsOverrunWhileOthersAreIdle() {
        for (long seed = 1; seed <= 6; seed++) {
            int most = new Fleet(seed, NODES).mostAtOneEngine();
            assertTrue(most <= PLACES, "seed " + seed + ": " + most);
        }
    }

    /** Nodes that take themselves for few all send to the engine that the last sums show as idle. */
    @Test
    void nodesThatCompareAllEnginesAreSeen() {
        int most = new Fleet(1, RandomSubset.FULL_VIEW_NODES_MAX).mostAtOneEngine();
        assertTrue(most > PLACES, "" + most);
    }
}
