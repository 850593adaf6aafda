package ringspindle.replication;

import static java.nio.charset.StandardCharsets.UTF_8;

import jakarta.json.JsonObject;
import jakarta.json.spi.JsonProvider;
import ringspindle.api.Outcome;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.Mark;
import ringspindle.protocol.Message.State;
import ringspindle.shard.ShardAssignment;

/**
 * Commands on shards of batch jobs: assignments by the head of the view, and operators' commands to empty a storage
 * node.
 */
public final class ShardCommands {
    private static final JsonProvider JSON = JsonProvider.provider();
    private static final String ASSIGNMENT = "assignment";

    private ShardCommands() {}

    /**
     * Returns the body of the command that assigns a shard.
     *
     * @param epoch the epoch of the view whose head sends it; commands of another head are rejected
     */
    public static byte[] assignCommand(ShardAssignment assignment, long epoch) {
        return JSON.createObjectBuilder()
                .add(JsonCommand.EPOCH, epoch)
                .add(ASSIGNMENT, assignment.write())
                .build()
                .toString()
                .getBytes(UTF_8);
    }

    /** Decides an assignment, which replaces only its immediate predecessor. */
    static Decision decideAssignment(State state, Call command) {
        return JsonCommand.decide(state, command, MarkKind.SHARD, (fields, mark) -> {
            ShardAssignment next = ShardAssignment.read(fields.getString(ASSIGNMENT));
            boolean fromCurrentHead = epoch(fields) == state.lineage();
            return fromCurrentHead && next.epoch() == epoch(mark) + 1
                    ? Decision.commit(command, next.write().getBytes(UTF_8))
                    : Decision.answer(Outcome.CLASH);
        });
    }

    private static long epoch(JsonObject fields) {
        return fields.getJsonNumber(JsonCommand.EPOCH).longValue();
    }

    private static long epoch(Mark mark) {
        return mark == null ? 0 : ShardAssignment.read(mark.value()).epoch();
    }

    /** Decides a command to empty a storage node. It is permanent; a repeated one changes nothing. */
    static Decision decideRetirement(State state, Call command) {
        Mark mark = ControlState.findMark(state, MarkKind.RETIREMENT, command.arg());
        return mark == null ? Decision.commit(command, command.body()) : Decision.answer(Outcome.TAKEN);
    }
}
