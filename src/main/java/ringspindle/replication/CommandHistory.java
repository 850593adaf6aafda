package ringspindle.replication;

import com.google.common.hash.Hashing;
import java.util.ArrayList;
import java.util.List;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.State;
import ringspindle.protocol.Message.TakenOrder;

/**
 * Recent commands on configurations and serving rules, kept in the control state to detect duplicates. {@link
 * State#past} holds them, oldest first.
 */
final class CommandHistory {
    /** How many commands are kept for duplicate detection. */
    static final int MAX_COMMANDS = 1024;
    /** In place of a revision for commands on serving rules. */
    static final long NO_REVISION = -1;

    private CommandHistory() {}

    /**
     * Returns the identity of a command: 64 bits of SHA-256 over kind, base and body as sent. A new command collides by
     * chance with one of the {@link #MAX_COMMANDS} kept less than once in 10^16 commands; clients are trusted not to
     * search for collisions.
     */
    static long digest(Call command) {
        return Hashing.sha256()
                .newHasher()
                .putInt(command.kind())
                .putLong(command.base())
                .putBytes(command.body())
                .hash()
                .asLong();
    }

    /** Whether a command of that digest was accepted and is still kept. */
    static boolean contains(State state, long digest) {
        for (TakenOrder command : state.past()) {
            if (command.digest() == digest) {
                return true;
            }
        }
        return false;
    }

    /** Whether a command on that base may have been accepted so long ago that it is no longer kept. */
    static boolean mayHaveDropped(State state, long base) {
        return state.past().size() >= MAX_COMMANDS && base < oldestRevision(state);
    }

    private static long oldestRevision(State state) {
        for (TakenOrder command : state.past()) {
            if (command.revision() != NO_REVISION) {
                return command.revision();
            }
        }
        return state.revision();
    }

    /** Returns the history with one more command. */
    static List<TakenOrder> append(List<TakenOrder> past, long revision, long digest) {
        List<TakenOrder> commands = new ArrayList<>(past);
        commands.add(new TakenOrder(revision, digest));
        if (commands.size() > MAX_COMMANDS) {
            commands.remove(0);
        }
        return commands;
    }
}
