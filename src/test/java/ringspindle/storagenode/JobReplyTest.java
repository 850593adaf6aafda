package ringspindle.storagenode;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import ringspindle.config.FleetConfig;
import ringspindle.config.NodeConfig;
import ringspindle.config.Validated;
import ringspindle.protocol.BatchMessage.JobCall;
import ringspindle.protocol.BatchMessage.JobReply;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.JobCallKind;
import ringspindle.protocol.JobStatus;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.Message.News;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;
import ringspindle.shard.ShardAssignment;
import ringspindle.shard.ShardMember;
import ringspindle.transport.NodeEnvironment;
import ringspindle.transport.RecordingMesh;

/**
 * Guards against mixed results: a leader sent what it held for a process of a data node to the next process there, which may be an
 * older version that counts its calls from 1.
 */
class JobReplyTest {
    private static final NodeId STORAGE = NodeId.of("10.0.0.1:7002");
    private static final NodeId CONTROL = NodeId.of("10.0.0.2:7000");
    private static final NodeId DATA = NodeId.of("10.0.0.3:7001");
    private static final long STORE = 7;
    private static final int FIRST_CALL = 1;

    private final RecordingMesh mesh = new RecordingMesh();
    /** What the node's disk and timers are to do later. */
    private final Deque<Runnable> later = new ArrayDeque<>();

    @BeforeEach
    void startLeader() throws Exception {
        Properties settings = new Properties();
        settings.putAll(Map.of("node.name", "s", "node.ip", STORAGE.ip(), "node.zone", "z", "node.region", "r"));
        settings.putAll(Map.of("listen.inner", "7000", "zone.z", "r", "seeds", "10.0.0.2:80", "loss.nodes", "0"));
        NodeConfig config = ((Validated.Valid<NodeConfig>) NodeConfig.check(settings)).value();
        HollowStorageNode node = new HollowStorageNode(
                config,
                new NodeEnvironment(() -> 1000, 1, () -> STORE, Runnable::run, hello -> mesh),
                (inMs, task) -> later.add(task),
                () -> 1);
        ShardMember member = new ShardMember(STORAGE, STORE);
        byte[] assignment = new ShardAssignment(0, 1, member, 1, List.of(member), List.of())
                .write()
                .getBytes(UTF_8);
        mesh.listener().opened(new Hello(CONTROL, 1, NodeKind.CONTROL, 0, "c", "z", "r"));
        mesh.listener()
                .received(
                        CONTROL,
                        new News(true, List.of(new Fact(FactKind.SHARD, "0", 0, 1, assignment), configuration())));
        sync();
        node.tick();
    }

    private static Fact configuration() {
        String json =
                "{\"revision\":1,\"routes\":[{\"name\":\"b\",\"host\":\"h\",\"pathPrefix\":\"/b/\",\"routeKind\":\"batch\","
                        + "\"deadlineMs\":5000,\"service\":\"llm\",\"maxWaitS\":20}],\"services\":[{\"name\":\"llm\"}]}";
        FleetConfig config = ((Validated.Valid<FleetConfig>) FleetConfig.read(json.getBytes(UTF_8))).value();
        return new Fact(FactKind.CONFIG, "", 0, 1, config.packed());
    }

    private void sync() {
        while (!later.isEmpty()) {
            later.poll().run();
        }
    }

    private void dataNodeConnects(long life) {
        mesh.listener().opened(new Hello(DATA, life, NodeKind.DATA, 0, "d", "z", "r"));
    }

    private void submit(long callId, String job) {
        String body = "{\"requests\":[{\"instanceId\":\"i\",\"path\":\"/b/x\",\"requestHeaders\":{},"
                + "\"requestBody\":\"aGk=\",\"tokenCount\":3}]}";
        mesh.listener()
                .received(
                        DATA,
                        new JobCall(
                                callId,
                                JobCallKind.SUBMIT.code(),
                                0,
                                0,
                                0,
                                job,
                                "",
                                "b",
                                "h",
                                "",
                                body.getBytes(UTF_8)));
    }

    private List<Long> answered() {
        return mesh.sentTo(DATA, JobReply.class).stream()
                .filter(reply -> reply.status() == JobStatus.DONE)
                .map(JobReply::id)
                .toList();
    }

    @Test
    void whatWasHeldForAnEarlierConnectionIsNotSentOverTheNext() {
        dataNodeConnects(1);
        submit(FIRST_CALL, "job-of-the-killed-process");
        dataNodeConnects(2);
        sync();
        assertEquals(List.of(), answered());

        submit(FIRST_CALL, "job-of-the-next-process");
        sync();
        assertEquals(List.of(1L), answered());
    }

    @Test
    void aConnectionThatStandsGetsWhatWasHeld() {
        dataNodeConnects(1);
        submit(FIRST_CALL, "job");
        assertEquals(List.of(), answered(), "not on disk yet");
        sync();
        assertEquals(List.of(1L), answered());
    }
}
