package ringspindle.replication;

import ringspindle.api.Outcome;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.Mark;
import ringspindle.protocol.Message.State;

/** Decides commands at the head of the chain, as a function of the state and the command. */
final class CommandDecider {
    private final ConfigurationCommands configurations = new ConfigurationCommands();

    /** Returns the decision on the command for the state; reads are not decided here. */
    Decision decide(State state, Call command) {
        return switch (CallKind.of(command.kind())) {
            case PUT -> configurations.put(state, command);
            case PATCH -> configurations.patch(state, command);
            case RULES -> configurations.rules(state, command);
            case EVACUATE -> decideEvacuation(state, command, true);
            case RESTORE -> decideEvacuation(state, command, false);
            case DRAIN, GONE -> decideLeaving(state, command);
            case ROLLOUT -> RolloutCommands.decide(state, command);
            case EXPERIMENT -> ExperimentCommands.decide(state, command);
            case SHARD -> ShardCommands.decideAssignment(state, command);
            case RETIRE -> ShardCommands.decideRetirement(state, command);
            case METER -> MeteredWindow.decide(state, command);
            case VERSION -> VersionRollout.decide(state, command);
            case READ, UNKNOWN -> Decision.answer(Outcome.NO_SUCH);
        };
    }

    /** Commits a mark even if nothing changes: the newer mark fences an opposite command that is still in transit. */
    private static Decision decideEvacuation(State state, Call command, boolean evacuate) {
        Mark mark = ControlState.findMark(state, MarkKind.EVACUATED, command.arg());
        boolean evacuated = mark != null && mark.value().equals(ControlState.ON);
        return evacuated != evacuate && isStale(command, mark)
                ? Decision.answer(Outcome.UNCLEAR)
                : Decision.commit(command, command.body());
    }

    private static Decision decideLeaving(State state, Call command) {
        Mark mark = ControlState.findMark(state, MarkKind.LEAVING, command.arg());
        boolean unchanged = mark != null
                && (mark.value().equals(ControlState.GONE) || CallKind.of(command.kind()) == CallKind.DRAIN);
        return unchanged ? Decision.answer(Outcome.TAKEN) : Decision.commit(command, command.body());
    }

    /**
     * Whether the mark to replace is newer than what was known when the command was received, so that it was delayed.
     */
    static boolean isStale(Call command, Mark replaced) {
        return replaced != null && replaced.version() > command.base();
    }
}
