package ringspindle.replication;

import static java.nio.charset.StandardCharsets.UTF_8;

import jakarta.json.JsonObject;
import jakarta.json.spi.JsonProvider;
import ringspindle.api.Outcome;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.Mark;
import ringspindle.protocol.Message.State;
import ringspindle.shard.ShardAssignment;

/** Orders on shards of batch jobs: assignments by the head of the view, and operators' orders to empty a storage node. */
public final class ShardCommands {
    private static final JsonProvider JSON = JsonProvider.provider();
    private static final String ASSIGNMENT = "assignment";

    private ShardCommands() {}

    /**
     * The body of an order to assign a shard.
     *
     * @param epoch of the view whose head gives it; another head's order is refused
     */
    public static byte[] assignCommand(ShardAssignment assignment, long epoch) {
        return JSON.createObjectBuilder()
                .add(JsonCommand.EPOCH, epoch)
                .add(ASSIGNMENT, assignment.write())
                .build()
                .toString()
                .getBytes(UTF_8);
    }

    /** An assignment takes the place of the one before it and of no other. */
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

    /** An order to empty a node holds for good; one that is given again changes nothing. */
    static Decision decideRetirement(State state, Call command) {
        Mark mark = ControlState.findMark(state, MarkKind.RETIREMENT, command.arg());
        return mark == null ? Decision.commit(command, command.body()) : Decision.answer(Outcome.TAKEN);
    }
}
