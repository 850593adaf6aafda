package ringspindle.scale;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.IntSupplier;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ringspindle.api.Outcome;
import ringspindle.config.NodeConfig;
import ringspindle.config.Validated;
import ringspindle.controlplane.SimulatedControlNode;
import ringspindle.dataplane.HollowDataNode;
import ringspindle.protocol.BatchMessage.JobCall;
import ringspindle.protocol.JobCallKind;
import ringspindle.protocol.JobStatus;
import ringspindle.protocol.NodeId;
import ringspindle.shard.ShardAssignment;
import ringspindle.storagenode.HollowStorageNode;

/**
 * Control nodes, storage nodes and a data node start together, in any order, some of them in the same millisecond; then every shard
 * takes a job.
 */
class StorageStartTest {
    private static final int CONTROL_NODES = 5;
    private static final int STORAGE_NODES = 8;
    private static final int START_STEPS = 12;
    /** Machines start in steps of this, so that many processes have the same number. */
    private static final int START_STEP_MS = 25;

    private static final int START_TO_CONFIGURATION_MS = 4000;
    /** Users begin to send jobs so long after the machines start. */
    private static final int START_TO_JOBS_MS = 19_000;
    /** A submission is given up by its client after so long. */
    private static final int SUBMISSION_MS = 4000;

    private final SimulatedNetwork net = new SimulatedNetwork();
    private final List<SimulatedControlNode> controls = new ArrayList<>();
    private HollowDataNode data;
    private long acknowledged;

    private static NodeConfig settings(String name, String ip, int zone, String... more) {
        Properties properties = new Properties();
        for (int i = 0; i < CONTROL_NODES; i++) {
            properties.setProperty("zone.z" + i, "r");
        }
        properties.putAll(Map.of(
                "node.name", name,
                "node.ip", ip,
                "node.zone", "z" + zone,
                "node.region", "r",
                "listen.inner", "7000",
                "seeds", "10.0.0.1:80,10.0.1.1:80,10.0.2.1:80",
                "loss.nodes", "2",
                "node.bootstrap", "true",
                "bound.statusTtlS", "120"));
        for (int i = 0; i < more.length; i += 2) {
            properties.setProperty(more[i], more[i + 1]);
        }
        return ((Validated.Valid<NodeConfig>) NodeConfig.check(properties)).value();
    }

    private static byte[] configuration() {
        StringBuilder routes = new StringBuilder();
        for (int i = 0; i < 40; i++) {
            routes.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"b-" + i + "\",\"host\":\"h.example\",\"pathPrefix\":\"/b" + i + "/\",")
                    .append("\"routeKind\":\"batch\",\"deadlineMs\":5000,\"targetLatencyMs\":600,\"priority\":1,")
                    .append("\"service\":\"llm\",\"maxAttempts\":2,\"targetCompletionMs\":9000,\"maxWaitS\":20}");
        }
        return ("{\"revision\":1,\"routes\":[" + routes
                        + "],\"services\":[{\"name\":\"llm\",\"maxConnections\":50}],\"limits\":{}}")
                .getBytes(UTF_8);
    }

    private void every(NodeId id, int everyMs, Runnable task) {
        net.at(everyMs, () -> {
            if (net.mesh(id) != null && !net.down(id)) {
                task.run();
            }
            every(id, everyMs, task);
        });
    }

    private void startControl(int number) throws Exception {
        String ip = "10.0." + number + ".1";
        SimulatedControlNode control = new SimulatedControlNode(
                settings("c" + number, ip, number, "listen.control", ip + ":80"), net.means(life()), net::at);
        controls.add(control);
        every(NodeId.of(ip + ":7000"), SimulatedControlNode.tickMs(), control::tick);
    }

    private void startStorage(int number, IntSupplier syncMs) throws Exception {
        String ip = "10.0." + number % CONTROL_NODES + "." + (10 + number);
        HollowStorageNode storage = new HollowStorageNode(
                settings("s" + number, ip, number % CONTROL_NODES), net.means(life()), net::at, syncMs);
        every(NodeId.of(ip + ":7002"), HollowStorageNode.tickMs(), storage::tick);
    }

    private void startData() throws Exception {
        String ip = "10.0.3.99";
        data = new HollowDataNode(settings("d", ip, 3, "listen.frontend", ip + ":80"), net.means(life()));
        every(NodeId.of(ip + ":7001"), HollowDataNode.tickMs(), data::tick);
    }

    /** The number of a process is the time of its start, as it is for real processes. */
    private long life() {
        return net.nowMs();
    }

    private interface Start {
        void run() throws Exception;
    }

    private void startLater(Random random, Start start) {
        net.at(random.nextInt(START_STEPS) * START_STEP_MS, () -> {
            try {
                start.run();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
    }

    private void startFleet(Random random) {
        for (int i = 0; i < CONTROL_NODES; i++) {
            int number = i;
            startLater(random, () -> startControl(number));
        }
        for (int i = 0; i < STORAGE_NODES; i++) {
            int number = i;
            int slowestMs = random.nextInt(4) == 0 ? 400 : 8;
            startLater(random, () -> startStorage(number, () -> 1 + random.nextInt(slowestMs)));
        }
        startLater(random, this::startData);
    }

    private void configure() {
        controls.get(0).put(0, configuration(), outcome -> {
            if (outcome == Outcome.TAKEN) {
                acknowledged++;
            } else {
                net.at(300, this::configure);
            }
        });
    }

    private static String routeOf(int shard) {
        for (int i = 0; i < 40; i++) {
            if (ShardAssignment.shardOf("", "b-" + i) == shard) {
                return "b-" + i;
            }
        }
        throw new IllegalStateException("no route for shard " + shard);
    }

    private void submit(int shard, Set<Integer> accepted) {
        String body = "{\"requests\":[{\"instanceId\":\"item-" + shard + "\",\"path\":\"/b/x\",\"requestHeaders\":{},"
                + "\"requestBody\":\"aGk=\",\"tokenCount\":3}]}";
        JobCall call = new JobCall(
                0,
                JobCallKind.SUBMIT.code(),
                shard,
                0,
                0,
                "job-" + shard,
                "",
                routeOf(shard),
                "h.example",
                "",
                body.getBytes(UTF_8));
        data.jobs().call(call, SUBMISSION_MS, (status, reply) -> {
            if (status == JobStatus.DONE) {
                accepted.add(shard);
            }
        });
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
    void everyShardTakesAJobAfterTheFirstStart(long seed) {
        Random random = new Random(seed);
        startFleet(random);
        boolean headIsLost = seed % 4 == 0;
        if (headIsLost) {
            // while the first assignments are decided
            net.at(2500 + random.nextInt(4000), this::freezeHead);
        }
        net.at(START_TO_CONFIGURATION_MS, this::configure);
        net.runFor(START_TO_JOBS_MS);
        assertEquals(1, acknowledged, "configurations acknowledged");

        Set<Integer> accepted = new TreeSet<>();
        for (int shard = 0; shard < ShardAssignment.SHARDS; shard++) {
            submit(shard, accepted);
        }
        net.runFor(SUBMISSION_MS);
        assertEquals(Set.of(0, 1, 2, 3, 4, 5, 6, 7), accepted, () -> "shards that took a job; " + condition());
    }

    private void freezeHead() {
        for (SimulatedControlNode control : controls) {
            if (control.isHead()) {
                net.freeze(control.nodeId(), 3000);
                return;
            }
        }
    }

    private String condition() {
        String page = controls.get(0).operatorPages().get("status");
        int at = page.indexOf("\"shards\"");
        assertTrue(at >= 0, "the status page shows shards");
        return page.substring(at);
    }
}
