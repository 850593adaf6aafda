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

/**
 * Guards against many nodes overloading one engine at the same time. Each node learns the load of the others a second
 * late, so nodes that compare all engines all select the one that the last update shows as idle.
 */
class StaleLoadTest {
    private static final int NODES = 60;
    private static final int ENGINES = 40;
    /** Number of requests that an engine can run concurrently. */
    private static final int MAX_RUNNING_PER_ENGINE = 16;

    private static final int RUN_MS = 640;
    private static final int LOAD_UPDATE_PERIOD_MS = 1000;
    private static final int DURATION_MS = 12_000;
    /** Keeps a quarter of the capacity of all engines in use, on average. */
    private static final double ARRIVALS_PER_MS = 0.25 * ENGINES * MAX_RUNNING_PER_ENGINE / RUN_MS;

    private record RunningRequest(int node, String engine, long endMs) {}

    /** Nodes and engines; every engine runs all its requests concurrently. */
    private static final class Fleet {
        private final Random random;
        private final List<LoadBalancer> nodes = new ArrayList<>();
        private final PriorityQueue<RunningRequest> runningRequests =
                new PriorityQueue<>(Comparator.comparingLong(RunningRequest::endMs));
        private final Map<String, Integer> runningByEngine = new HashMap<>();
        private int maxRunning;

        /** Creates a fleet whose leases say that {@code leaseNodes} nodes share the engines. */
        Fleet(long seed, int leaseNodes) {
            random = new Random(seed);
            for (int node = 0; node < NODES; node++) {
                LoadBalancer loadBalancer = LoadBalancers.create("n" + node, "a1", "a");
                loadBalancer.updateLease(new Lease(1, leaseNodes, 10 * DURATION_MS), 0);
                for (int engine = 1; engine <= ENGINES; engine++) {
                    loadBalancer.updateEngine("i-" + engine, LoadBalancers.engine("a1", engine, 0, false), 1, 0);
                }
                nodes.add(loadBalancer);
            }
        }

        int runAndGetMaxRunning() {
            for (long nowMs = 10_000; nowMs < 10_000 + DURATION_MS; nowMs++) {
                endRequests(nowMs);
                if (nowMs % LOAD_UPDATE_PERIOD_MS == 0) {
                    updateLoads(nowMs);
                }
                if (random.nextDouble() < ARRIVALS_PER_MS) {
                    startRequest(nowMs);
                }
            }
            return maxRunning;
        }

        private SelectionRequest createRequest() {
            return SelectionRequests.of("s")
                    .prompt(0, 0, 300)
                    .output(270)
                    .random(random.nextLong())
                    .build();
        }

        private void startRequest(long nowMs) {
            int node = random.nextInt(NODES);
            String engine = LoadBalancers.id(nodes.get(node).select(createRequest(), nowMs));
            runningRequests.add(new RunningRequest(node, engine, nowMs + RUN_MS / 2 + random.nextInt(RUN_MS)));
            maxRunning = Math.max(maxRunning, runningByEngine.merge(engine, 1, Integer::sum));
        }

        private void endRequests(long nowMs) {
            while (!runningRequests.isEmpty() && runningRequests.peek().endMs() <= nowMs) {
                RunningRequest request = runningRequests.poll();
                runningByEngine.merge(request.engine(), -1, Integer::sum);
                nodes.get(request.node())
                        .onAttemptEnded(request.engine(), createRequest(), AttemptOutcome.ANSWERED, 20, nowMs);
            }
        }

        private void updateLoads(long nowMs) {
            List<EngineLoad> rows = new ArrayList<>();
            runningByEngine.forEach(
                    (engine, count) -> rows.add(new EngineLoad(EngineKey.of(engine), count, 0, count, count * 570L)));
            for (LoadBalancer node : nodes) {
                node.summarizeLoad(nowMs);
                node.updateRegionLoad(new Load(1, nowMs, rows, List.of()), nowMs);
            }
        }
    }

    @Test
    void noEngineIsOverloadedWhileOthersAreIdle() {
        for (long seed = 1; seed <= 6; seed++) {
            int maxRunning = new Fleet(seed, NODES).runAndGetMaxRunning();
            assertTrue(maxRunning <= MAX_RUNNING_PER_ENGINE, "seed " + seed + ": " + maxRunning);
        }
    }

    /** Nodes that assume to be few compare all engines, so all select the engine that the last update shows as idle. */
    @Test
    void comparingAllEnginesOverloadsOne() {
        int maxRunning = new Fleet(1, RandomSubset.MAX_NODES_COMPARING_ALL).runAndGetMaxRunning();
        assertTrue(maxRunning > MAX_RUNNING_PER_ENGINE, "" + maxRunning);
    }
}
