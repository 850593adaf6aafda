package ringspindle.dataplane;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.Random;
import org.junit.jupiter.api.Test;
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

/** Guards against mixed results: a restarted data node took a leader's held reply to the process before it for its own. */
class JobCallIdsTest {
    private static final NodeId LEADER = NodeId.of("10.0.0.1:7002");
    private static final Hello LEADER_HELLO = new Hello(LEADER, 1, NodeKind.STORAGE, 0, "s", "z", "r");
    private static final int TIME_LIMIT_MS = 2000;

    /** Draws the numbers of all processes, which are therefore different. */
    private final Random random = new Random(1);

    private final List<String> replies = new ArrayList<>();

    /** One process of the data node, which knows the leader of each shard. */
    private final class Process {
        private final RecordingMesh mesh = new RecordingMesh();
        private final HollowDataNode node;

        Process(long life) throws Exception {
            Properties settings = new Properties();
            settings.putAll(Map.of("node.name", "d", "node.ip", "10.0.0.9", "node.zone", "z", "node.region", "r"));
            settings.putAll(Map.of("listen.frontend", "10.0.0.9:80", "listen.inner", "7000", "zone.z", "r"));
            settings.put("seeds", "10.0.0.1:80");
            NodeConfig config = ((Validated.Valid<NodeConfig>) NodeConfig.check(settings)).value();
            node = new HollowDataNode(
                    config, new NodeEnvironment(() -> 1000, life, random::nextLong, Runnable::run, hello -> mesh));
            ShardMember member = new ShardMember(LEADER, 7);
            byte[] assignment = new ShardAssignment(0, 1, member, 1, List.of(member), List.of())
                    .write()
                    .getBytes(UTF_8);
            mesh.listener().opened(LEADER_HELLO);
            mesh.listener().received(LEADER, new News(true, List.of(new Fact(FactKind.SHARD, "0", 0, 1, assignment))));
        }

        /** Reads the results of a job; returns the id of the call that the leader gets. */
        long read(String job) {
            JobCall call = new JobCall(0, JobCallKind.RESULTS.code(), 0, 0, 1000, job, "", "r", "h", "", new byte[0]);
            node.jobs().call(call, TIME_LIMIT_MS, (status, body) -> replies.add(job + ": " + new String(body, UTF_8)));
            List<JobCall> sent = mesh.sentTo(LEADER, JobCall.class);
            return sent.get(sent.size() - 1).id();
        }

        void reply(long id, String results) {
            mesh.listener().received(LEADER, new JobReply(id, JobStatus.DONE.code(), results.getBytes(UTF_8)));
        }
    }

    @Test
    void replyToACallOfAnEarlierProcessEndsNoCall() throws Exception {
        long heldForEarlier = new Process(1).read("job of one client");
        Process restarted = new Process(2);
        long own = restarted.read("job of another client");

        restarted.reply(heldForEarlier, "results of one client");
        assertEquals(List.of(), replies);
        restarted.reply(own, "results of another client");
        assertEquals(List.of("job of another client: results of another client"), replies);
    }
}
