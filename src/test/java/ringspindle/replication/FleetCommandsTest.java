package ringspindle.replication;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import ringspindle.api.Outcome;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;
import ringspindle.protocol.Message.Mark;
import ringspindle.protocol.Message.State;
import ringspindle.protocol.NodeId;
import ringspindle.replication.VersionRollout.Status;
import ringspindle.shard.ShardAssignment;
import ringspindle.shard.ShardMember;

/** Tests commands on shards, metering and version rollouts: committed once, and only from the current head. */
class FleetCommandsTest {
    private static final ShardMember MEMBER = new ShardMember(NodeId.of("10.0.0.1:7002"), -7);

    private final CommandDecider decider = new CommandDecider();
    private State state = configured();

    private static State configured() {
        String json = "{\"revision\":3,\"routes\":[],\"services\":[{\"name\":\"s\"}]}";
        FleetConfig config = ((Validated.Valid<FleetConfig>) FleetConfig.read(json.getBytes(UTF_8))).value();
        State first = ControlState.initial();
        return new State(first.lineage(), 5, 3, first.past(), first.marks(), config.packed());
    }

    private Outcome submit(CallKind kind, String argument, byte[] body) {
        Decision decision = decider.decide(state, kind.call(1, state.seq(), argument, body));
        if (decision instanceof Decision.Commit commit) {
            state = ControlState.apply(state, commit.op());
            return Outcome.TAKEN;
        }
        return ((Decision.Answer) decision).outcome();
    }

    private Outcome assign(long shardEpoch, long viewEpoch) {
        ShardAssignment next = new ShardAssignment(2, shardEpoch, MEMBER, 1, List.of(MEMBER), List.of(MEMBER));
        return submit(CallKind.SHARD, "2", ShardCommands.assignCommand(next, viewEpoch));
    }

    private Mark mark(MarkKind kind, String key) {
        return ControlState.findMark(state, kind, key);
    }

    @Test
    void anAssignmentReplacesOnlyItsDirectPredecessor() {
        long epoch = state.lineage();
        assertEquals(Outcome.CLASH, assign(2, epoch));
        assertEquals(Outcome.TAKEN, assign(1, epoch));
        assertEquals(Outcome.CLASH, assign(1, epoch));
        assertEquals(Outcome.CLASH, assign(2, epoch + 1), "sent by the head of another view");
        assertEquals(Outcome.TAKEN, assign(2, epoch));
        ShardAssignment kept = ShardAssignment.read(mark(MarkKind.SHARD, "2").value());
        assertEquals(2, kept.epoch());
        assertEquals(MEMBER, kept.learners().get(0));
    }

    @Test
    void aMeteringWindowIsCommittedOnce() {
        long epoch = state.lineage();
        MeteredWindow first = new MeteredWindow(70, Map.of("a", 3L));
        MeteredWindow differing = new MeteredWindow(70, Map.of("a", 4L));
        assertEquals(Outcome.TAKEN, submit(CallKind.METER, "", first.command(epoch)));
        assertEquals(Outcome.CLASH, submit(CallKind.METER, "", differing.command(epoch)));
        assertEquals(Outcome.CLASH, submit(CallKind.METER, "", new MeteredWindow(71, Map.of()).command(epoch + 1)));
        assertEquals(first, MeteredWindow.read(mark(MarkKind.METERING, "").value()));
        assertEquals(Outcome.TAKEN, submit(CallKind.METER, "", new MeteredWindow(71, Map.of()).command(epoch)));
    }

    @Test
    void onlyOneVersionRolloutRunsAndOnlyTheCurrentHeadEndsIt() {
        byte[] start = "{\"service\":\"s\",\"targetRevision\":\"v2\",\"durationS\":12}".getBytes(UTF_8);
        byte[] other = "{\"service\":\"s\",\"targetRevision\":\"v3\",\"durationS\":12}".getBytes(UTF_8);
        long epoch = state.lineage();
        assertEquals(Outcome.NO_SUCH, submit(CallKind.VERSION, "x", start));
        assertEquals(Outcome.INVALID, submit(CallKind.VERSION, "s", "{\"durationS\":3}".getBytes(UTF_8)));
        assertEquals(Outcome.TAKEN, submit(CallKind.VERSION, "s", start));
        assertEquals(Outcome.TAKEN, submit(CallKind.VERSION, "s", start), "a repeated command is accepted");
        assertEquals(Outcome.CLASH, submit(CallKind.VERSION, "s", other));
        assertEquals(
                Outcome.CLASH, submit(CallKind.VERSION, "s", VersionRollout.endCommand(Status.REVERTED, epoch + 1)));
        assertEquals(Outcome.TAKEN, submit(CallKind.VERSION, "s", VersionRollout.endCommand(Status.REVERTED, epoch)));
        assertEquals(
                new VersionRollout("s", "v2", 12, Status.REVERTED),
                VersionRollout.read(mark(MarkKind.VERSION, "s").value()));
        assertEquals(
                Outcome.TAKEN,
                submit(CallKind.VERSION, "s", other),
                "another rollout may start once the first has ended");
    }

    @Test
    void aRepeatedRetirementIsAccepted() {
        assertEquals(Outcome.TAKEN, submit(CallKind.RETIRE, "storage-1", new byte[0]));
        assertEquals(Outcome.TAKEN, submit(CallKind.RETIRE, "storage-1", new byte[0]));
        assertEquals("on", mark(MarkKind.RETIREMENT, "storage-1").value());
    }
}
