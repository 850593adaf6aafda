package ringspindle.replication;

import com.google.common.hash.Hashing;
import java.util.ArrayList;
import java.util.List;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.State;
import ringspindle.protocol.Message.TakenOrder;

/**
 * Orders on configurations and serving rules that the control state remembers, so that one that is sent again is known.
 * {@link State#past} holds them, oldest first.
 */
final class CommandHistory {
    /** So many orders are known again when they are sent again. */
    static final int MAX_COMMANDS = 1024;
    /** In place of a revision: the order was on serving rules. */
    static final long NO_REVISION = -1;

    private CommandHistory() {}

    /**
     * An order's identity: 64 bits of SHA-256 over kind, base and body as sent. Two of the {@link #MAX_COMMANDS} kept and a new one meet
     * by chance less than once in 10^16 orders; callers are trusted not to look for a collision.
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

    /** True if an order of that digest was taken and is remembered. */
    static boolean contains(State state, long digest) {
        for (TakenOrder command : state.past()) {
            if (command.digest() == digest) {
                return true;
            }
        }
        return false;
    }

    /** True if an order on that base may have been taken so long ago that it was forgotten. */
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

    /** What is remembered after one more order. */
    static List<TakenOrder> append(List<TakenOrder> past, long revision, long digest) {
        List<TakenOrder> commands = new ArrayList<>(past);
        commands.add(new TakenOrder(revision, digest));
        if (commands.size() > MAX_COMMANDS) {
            commands.remove(0);
        }
        return commands;
    }
}
