package ringspindle.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import ringspindle.soak.SoakTopology.Node;
import ringspindle.soak.SoakTopology.Role;

/**
 * Runs both programs as real processes on loopback, under traffic and a seeded plan of disturbances, and judges what clients,
 * engines and the operator saw. By hand, over many seeds, as {@code ProcessSoak FIRST_SEED SEEDS DATA_NODES_PER_REGION
 * LENGTH_MS}; every other seed has planned work only. The exit code is 1 if a rule was broken.
 */
final class ProcessSoak {
    /** Far beyond what is needed: what is not there by then does not come any more. */
    private static final Duration CALM_LIMIT = Duration.ofSeconds(60);

    private static final int CLIENTS_PER_REGION_AND_HOST = 2;
    private static final int NETWORKS = 200;
    private static final int FIRST_NETWORK = 20;

    /**
     * One soak.
     *
     * @param lengthMs how long disturbances go on
     */
    record Plan(long seed, int dataNodesPerRegion, int lengthMs, boolean plannedOnly) {}

    /** What became of it: broken rules, and how much there was to judge. */
    record Verdict(
            List<String> broken,
            int disturbances,
            int attempts,
            long served,
            int led,
            long changes,
            int increments,
            long longestHoleMs) {}

    private final Plan plan;
    private final SoakTopology topology;
    private final SoakHistory history = new SoakHistory();
    private final List<NodeProcess> nodes = new ArrayList<>();
    private final List<SoakEngine> engines = new ArrayList<>();
    private final List<SoakCounterCaller> callers = new ArrayList<>();
    private final CountDownLatch ended = new CountDownLatch(1);
    private final ScheduledExecutorService platform = Executors.newScheduledThreadPool(2);
    private final SoakOperator operator;
    private final SoakRelay relay;
    private final SoakHttp http = new SoakHttp();
    private int probes;

    private ProcessSoak(Plan plan) throws IOException {
        this.plan = plan;
        topology = new SoakTopology(FIRST_NETWORK + (int) (plan.seed() % NETWORKS), plan.dataNodesPerRegion());
        operator = new SoakOperator(topology, history, ended, plan.seed());
        relay = new SoakRelay(topology);
    }

    /** Plays one soak; its files stay below the folder. */
    static Verdict play(Plan plan, Path folder) throws IOException, InterruptedException {
        ProcessSoak soak = new ProcessSoak(plan);
        Thread cleaner = new Thread(soak::stopNodes);
        Runtime.getRuntime().addShutdownHook(cleaner);
        try {
            return soak.play(folder);
        } finally {
            soak.close();
            Runtime.getRuntime().removeShutdownHook(cleaner);
        }
    }

    private Verdict play(Path folder) throws IOException, InterruptedException {
        startNodes(folder);
        for (String region : SoakTopology.REGIONS) {
            engines.add(new SoakEngine(topology, region, history, plan.seed(), !plan.plannedOnly()));
        }
        if (!operator.change()) {
            history.fail("RECOVER: the first configuration is not acknowledged");
            return verdict(0);
        }
        if (!awaitCalm("at the start")) {
            return verdict(0);
        }
        List<Thread> clients = startClients();
        Disturbances disturbances = new Disturbances(nodes, relay, plan.lengthMs(), plan.plannedOnly(), plan.seed());
        disturbances.schedule(platform);
        Thread changes = new Thread(operator);
        changes.start();
        ended.await(plan.lengthMs(), TimeUnit.MILLISECONDS);
        ended.countDown();
        changes.join();
        for (Thread client : clients) {
            client.join();
        }
        if (awaitCalm("at the end")) {
            checkEnd();
        }
        return verdict(disturbances.count());
    }

    private void startNodes(Path folder) throws IOException {
        List<Node> all = new ArrayList<>(topology.controlNodes());
        all.addAll(topology.dataNodes());
        for (Node node : all) {
            NodeProcess process = new NodeProcess(topology, node, history, folder, platform, plan.seed());
            process.start();
            nodes.add(process);
        }
    }

    private List<Thread> startClients() {
        List<Thread> clients = new ArrayList<>();
        long seed = plan.seed();
        for (String region : SoakTopology.REGIONS) {
            for (String host : List.of(SoakTopology.HOMED_HOST, SoakTopology.FREE_HOST)) {
                for (int i = 0; i < CLIENTS_PER_REGION_AND_HOST; i++) {
                    Thread client = new Thread(new SoakClient(topology, region, host, history, ended, seed * 1000 + i));
                    client.start();
                    clients.add(client);
                }
            }
            SoakCounterCaller caller = new SoakCounterCaller(topology, region, history, ended);
            callers.add(caller);
            Thread calls = new Thread(caller);
            calls.start();
            clients.add(calls);
        }
        return clients;
    }

    /** True once all processes run and all data nodes are ready. */
    private boolean awaitCalm(String when) throws InterruptedException {
        boolean calm = Polling.until(CALM_LIMIT, this::allReady);
        if (!calm) {
            history.fail("RECOVER: not all nodes are ready " + when);
        }
        return calm;
    }

    private boolean allReady() throws InterruptedException {
        for (NodeProcess node : nodes) {
            if (!node.alive() || (node.node().role() == Role.DATA_PLANE && !ready(node.node()))) {
                return false;
            }
        }
        return true;
    }

    private boolean ready(Node node) throws InterruptedException {
        HttpResponse<String> answer =
                http.call("GET", node.ip() + ":" + SoakTopology.READINESS_PORT, "/ringspindle/readiness", Map.of(), "");
        return answer != null && answer.statusCode() == 200;
    }

    /** What was acknowledged is there, one more change is taken, and every data node has it in force. */
    private void checkEnd() throws InterruptedException {
        for (Node node : topology.controlNodes()) {
            if (!Polling.until(CALM_LIMIT, () -> operator.readBack(node) == null)) {
                history.fail("CONFIG: " + operator.readBack(node));
            }
        }
        if (!operator.change()) {
            history.fail("RECOVER: no change is acknowledged at the end");
            return;
        }
        for (Node node : topology.dataNodes()) {
            if (!Polling.until(CALM_LIMIT, () -> servesNewest(node))) {
                history.fail(
                        "CONFIG: " + node.name() + " does not know a route of revision " + operator.acknowledged());
            }
        }
        for (SoakCounterCaller caller : callers) {
            caller.check(CALM_LIMIT);
        }
        for (NodeProcess node : nodes) {
            if (!node.unexpectedExits().isEmpty()) {
                history.fail("FAULT: " + node.node().name() + " ended by itself, " + node.unexpectedExits());
            }
        }
    }

    private boolean servesNewest(Node node) throws InterruptedException {
        String id = "end-" + node.name() + "-" + ++probes;
        String address = node.ip() + ":" + SoakTopology.FRONTEND_PORT;
        HttpResponse<String> answer = http.call(
                "POST",
                address,
                "/only" + operator.acknowledged() + "/x",
                Map.of("Host", SoakTopology.FREE_HOST, "Attempt-Id", id, "Deadline-Ms", "3000"),
                id);
        int status = answer == null ? SoakHistory.NO_STATUS : answer.statusCode();
        history.add(new SoakHistory.Attempt(
                id, SoakTopology.FREE_HOST, false, address, System.nanoTime(), status, id, true));
        return status == 200;
    }

    private Verdict verdict(int disturbances) {
        List<String> broken = HistoryJudge.broken(history, topology.regionOfFrontend(), plan.plannedOnly());
        long served = history.attempts().stream()
                .filter(attempt -> attempt.status() == 200)
                .count();
        int attempts = history.attempts().size();
        int led = history.led().size();
        int increments =
                callers.stream().mapToInt(SoakCounterCaller::acknowledged).sum();
        return new Verdict(
                broken, disturbances, attempts, served, led, operator.acknowledged(), increments, longestHoleMs());
    }

    /** The longest time in which no request for a homed host was answered by any engine. */
    private long longestHoleMs() {
        List<Long> served = history.attempts().stream()
                .filter(attempt -> attempt.status() == 200 && attempt.host().equals(SoakTopology.HOMED_HOST))
                .map(SoakHistory.Attempt::endedNs)
                .sorted()
                .toList();
        long longestNs = 0;
        for (int i = 1; i < served.size(); i++) {
            longestNs = Math.max(longestNs, served.get(i) - served.get(i - 1));
        }
        return TimeUnit.NANOSECONDS.toMillis(longestNs);
    }

    private void stopNodes() {
        nodes.forEach(NodeProcess::stop);
    }

    private void close() {
        ended.countDown();
        platform.shutdownNow();
        stopNodes();
        engines.forEach(SoakEngine::close);
        try {
            relay.close();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Plays many seeds one after the other and prints a line for each. */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        long first = Long.parseLong(arguments[0]);
        int seeds = Integer.parseInt(arguments[1]);
        int failed = 0;
        for (long seed = first; seed < first + seeds; seed++) {
            Path folder = Files.createTempDirectory("ringspindle-soak-" + seed + "-");
            boolean plannedOnly = seed % 2 == 0;
            Plan plan = new Plan(seed, Integer.parseInt(arguments[2]), Integer.parseInt(arguments[3]), plannedOnly);
            Verdict verdict = play(plan, folder);
            failed += verdict.broken().isEmpty() ? 0 : 1;
            System.out.println("seed " + seed + (plannedOnly ? " planned" : " killed") + ": " + verdict.disturbances()
                    + " disturbances, " + verdict.attempts() + " attempts, " + verdict.served() + " served, "
                    + verdict.led() + " led, revision " + verdict.changes() + ", " + verdict.increments()
                    + " increments, longest hole " + verdict.longestHoleMs() + " ms, broken "
                    + verdict.broken().size());
            verdict.broken().stream().distinct().limit(8).forEach(line -> System.out.println("    " + line));
            if (!verdict.broken().isEmpty()) {
                System.out.println("    logs: " + folder);
            }
        }
        System.exit(failed == 0 ? 0 : 1);
    }
}
