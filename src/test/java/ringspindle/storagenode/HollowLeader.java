package ringspindle.storagenode;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.function.LongSupplier;
import ringspindle.config.FleetConfig;
import ringspindle.config.NodeConfig;
import ringspindle.config.Validated;
import ringspindle.membership.DataNodeFact;
import ringspindle.protocol.BatchMessage.JobCall;
import ringspindle.protocol.BatchMessage.JobReply;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.JobCallKind;
import ringspindle.protocol.JobStatus;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.Message.News;
import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;
import ringspindle.shard.ShardAssignment;
import ringspindle.shard.ShardMember;
import ringspindle.transport.NodeEnvironment;
import ringspindle.transport.RecordingMesh;

/** A process of a storage node that leads shard 0 alone; its disk and timers wait for {@link #sync}, a test plays its peers. */
final class HollowLeader {
    static final NodeId SELF = NodeId.of("10.0.0.1:7002");
    static final NodeId DATA = NodeId.of("10.0.0.3:7001");
    static final NodeId EXECUTOR = NodeId.of("10.0.0.4:7002");
    private static final NodeId CONTROL = NodeId.of("10.0.0.2:7000");
    private static final long STORE = 7;
    private static final long NOW_MS = 1000;

    private final RecordingMesh mesh = new RecordingMesh();
    private final Deque<Runnable> later = new ArrayDeque<>();
    private final HollowStorageNode node;

    /** Starts the process; {@code random} draws its numbers after that of its disk. */
    HollowLeader(LongSupplier random) throws Exception {
        Properties settings = new Properties();
        settings.putAll(Map.of("node.name", "s", "node.ip", SELF.ip(), "node.zone", "z", "node.region", "r"));
        settings.putAll(Map.of("listen.inner", "7000", "zone.z", "r", "seeds", "10.0.0.2:80", "loss.nodes", "0"));
        NodeConfig config = ((Validated.Valid<NodeConfig>) NodeConfig.check(settings)).value();
        boolean[] storeDrawn = {false};
        LongSupplier numbers = () -> {
            boolean isStore = !storeDrawn[0];
            storeDrawn[0] = true;
            return isStore ? STORE : random.getAsLong();
        };
        node = new HollowStorageNode(
                config,
                new NodeEnvironment(() -> NOW_MS, 1, numbers, Runnable::run, hello -> mesh),
                (inMs, task) -> later.add(task),
                () -> 1);
        mesh.listener().opened(hello(CONTROL, NodeKind.CONTROL, 1));
        mesh.listener().received(CONTROL, new News(true, List.of(assignment(), configuration(), executor())));
        sync();
        node.tick();
    }

    private static Hello hello(NodeId node, NodeKind kind, long life) {
        return new Hello(node, life, kind, 0, node.toString(), "z", "r");
    }

    private static Fact assignment() {
        ShardMember member = new ShardMember(SELF, STORE);
        String assignment = new ShardAssignment(0, 1, member, 1, List.of(member), List.of()).write();
        return new Fact(FactKind.SHARD, "0", 0, 1, assignment.getBytes(UTF_8));
    }

    private static Fact configuration() {
        String json =
                "{\"revision\":1,\"routes\":[{\"name\":\"b\",\"host\":\"h\",\"pathPrefix\":\"/b/\",\"routeKind\":\"batch\","
                        + "\"deadlineMs\":5000,\"service\":\"llm\",\"maxWaitS\":20}],\"services\":[{\"name\":\"llm\"}]}";
        FleetConfig config = ((Validated.Valid<FleetConfig>) FleetConfig.read(json.getBytes(UTF_8))).value();
        return new Fact(FactKind.CONFIG, "", 0, 1, config.packed());
    }

    private static Fact executor() {
        DataNodeFact fact = new DataNodeFact(NodeFlags.READY, CONTROL, hello(EXECUTOR, NodeKind.STORAGE, 1));
        return new Fact(FactKind.NODE, EXECUTOR.toString(), 0, 1, fact.value());
    }

    RecordingMesh mesh() {
        return mesh;
    }

    HollowStorageNode node() {
        return node;
    }

    /** Completes writes and runs timers until nothing is left to do. */
    void sync() {
        while (!later.isEmpty()) {
            later.poll().run();
        }
    }

    /** The mesh admits the connection of a data node, and tells the node of it. */
    void dataNodeConnects(long life) {
        mesh.admit(DATA, life);
        mesh.listener().opened(hello(DATA, NodeKind.DATA, life));
    }

    void executorConnects(long life) {
        mesh.listener().opened(hello(EXECUTOR, NodeKind.STORAGE, life));
    }

    /** A data node passes on the submission of a job of that many items. */
    void submit(long callId, String job, int items) {
        StringBuilder requests = new StringBuilder();
        for (int item = 0; item < items; item++) {
            requests.append(item == 0 ? "" : ",")
                    .append("{\"instanceId\":\"" + job + "-" + item + "\",\"path\":\"/b/x\",\"requestHeaders\":{},")
                    .append("\"requestBody\":\"aGk=\",\"tokenCount\":3}");
        }
        byte[] body = ("{\"requests\":[" + requests + "]}").getBytes(UTF_8);
        call(new JobCall(callId, JobCallKind.SUBMIT.code(), 0, 0, 0, job, "", "b", "h", "", body));
    }

    /** A data node asks for the results of a job; the text of those that are there. */
    String results(long callId, String job) {
        call(new JobCall(callId, JobCallKind.RESULTS.code(), 0, 0, 0, job, "", "", "", "", new byte[0]));
        sync();
        return mesh.sentTo(DATA, JobReply.class).stream()
                .filter(reply -> reply.id() == callId)
                .map(reply -> new String(reply.body(), UTF_8))
                .findFirst()
                .orElseThrow();
    }

    private void call(JobCall call) {
        mesh.listener().received(DATA, call);
    }

    /** The calls of data nodes that were answered with success, in order. */
    List<Long> answered() {
        return mesh.sentTo(DATA, JobReply.class).stream()
                .filter(reply -> reply.status() == JobStatus.DONE)
                .map(JobReply::id)
                .toList();
    }
}
