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
final class TakenOrders {
    /** So many orders are known again when they are sent again. */
    static final int MAX = 1024;
    /** In place of a revision: the order was on serving rules. */
    static final long NO_REVISION = -1;

    private TakenOrders() {}

    /**
     * An order's identity: 64 bits of SHA-256 over kind, base and body as sent. Two of the {@link #MAX} kept and a new one meet
     * by chance less than once in 10^16 orders; callers are trusted not to look for a collision.
     */
    static long digest(Call order) {
        return Hashing.sha256()
                .newHasher()
                .putInt(order.kind())
                .putLong(order.base())
                .putBytes(order.body())
                .hash()
                .asLong();
    }

    /** True if an order of that digest was taken and is remembered. */
    static boolean contain(State state, long digest) {
        for (TakenOrder order : state.past()) {
            if (order.digest() == digest) {
                return true;
            }
        }
        return false;
    }

    /** True if an order on that base may have been taken so long ago that it was forgotten. */
    static boolean mayHaveForgotten(State state, long base) {
        return state.past().size() >= MAX && base < oldestRevision(state);
    }

    private static long oldestRevision(State state) {
        for (TakenOrder order : state.past()) {
            if (order.revision() != NO_REVISION) {
                return order.revision();
            }
        }
        return state.revision();
    }

    /** What is remembered after one more order. */
    static List<TakenOrder> with(List<TakenOrder> past, long revision, long digest) {
        List<TakenOrder> orders = new ArrayList<>(past);
        orders.add(new TakenOrder(revision, digest));
        if (orders.size() > MAX) {
            orders.remove(0);
        }
        return orders;
    }
}
