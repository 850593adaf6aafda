package ringspindle.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import ringspindle.protocol.Message;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.ShardMessage.ShardAck;
import ringspindle.protocol.ShardMessage.ShardAppend;

/**
 * Guards against a job that is said not to exist: a leader took a follower's answer to what it had sent in an earlier epoch for an
 * answer of the present one, and its reads for confirmed by that follower.
 */
class ShardAckRoundsTest {
    private static final ShardMember LEADER = new ShardMember(NodeId.of("10.0.0.1:7002"), 11);
    private static final ShardMember FOLLOWER = new ShardMember(NodeId.of("10.0.0.2:7002"), 12);
    private static final int COPIES = 2;
    private static final long READ = 77;

    private final ShardReplica leader = replica(LEADER);
    private final ShardReplica follower = replica(FOLLOWER);
    private final List<Long> confirmed = new ArrayList<>();

    private static ShardReplica replica(ShardMember member) {
        return new ShardReplica(0, member.node(), member.store(), 1, COPIES);
    }

    private static ShardAssignment assignment(long epoch) {
        return new ShardAssignment(0, epoch, LEADER, 1, List.of(LEADER, FOLLOWER), List.of());
    }

    /** Writes at once what a replica has to write; returns what it sends. */
    private List<Message> carryOut(ShardReplica replica, List<ReplicaOutput> outputs) {
        List<Message> sent = new ArrayList<>();
        for (ReplicaOutput output : outputs) {
            if (output instanceof ReplicaOutput.Store store) {
                sent.addAll(carryOut(replica, replica.stored(store.token(), 0)));
            } else if (output instanceof ReplicaOutput.Send send) {
                sent.add(send.message());
            } else if (output instanceof ReplicaOutput.Confirmed read) {
                confirmed.add(read.token());
            }
        }
        return sent;
    }

    private List<Message> atFollower(Message append) {
        return carryOut(follower, follower.receive(LEADER.node(), (ShardAppend) append, 0));
    }

    private List<Message> atLeader(Message ack) {
        return carryOut(leader, leader.receive(FOLLOWER.node(), (ShardAck) ack, 0));
    }

    /** Lets both talk until nothing is left to say. */
    private void exchange(List<Message> appends) {
        for (Message append : appends) {
            atFollower(append).forEach(ack -> exchange(atLeader(ack)));
        }
    }

    private void lead(long epoch) {
        exchange(carryOut(leader, leader.assign(assignment(epoch), 0)));
        assertTrue(leader.leads());
    }

    @Test
    void answerToAnEarlierEpochConfirmsNothingInTheNext() {
        lead(5);
        for (int write = 0; write < 9; write++) {
            exchange(carryOut(leader, leader.propose(new byte[] {1}, 0)));
        }
        List<Message> heldUp = carryOut(leader, leader.propose(new byte[] {2}, 0));
        lead(6);
        atFollower(heldUp.get(0)).forEach(this::atLeader);

        List<Message> question = carryOut(leader, leader.confirm(READ, 0));
        assertEquals(List.of(), confirmed, "the follower was not asked yet");
        exchange(question);
        assertEquals(List.of(READ), confirmed);
    }
}
