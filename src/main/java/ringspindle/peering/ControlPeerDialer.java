package ringspindle.peering;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import ringspindle.protocol.NodeId;

/**
 * Whom a control node dials. One connection is enough for two nodes, so of two settled voters the lower address dials. Whoever
 * is not settled dials everybody: while it was away the others may have removed it from the view, and then none of them dials
 * it.
 *
 * <p>Nodes are dialled that the settings name, that the view names, or that a peer hears. A node that none of these names any
 * more is remembered and dialled more rarely for {@link #REMEMBERED_MS}: seeds may be replaced, and the view on an old disk
 * may name nobody who is left. Not thread safe.
 */
public final class ControlPeerDialer {
    /** A node that nobody names any more is dialled for so long, in ms. */
    static final int REMEMBERED_MS = 600_000;
    /** It is dialled once in so many ms. */
    static final int REMEMBERED_PERIOD_MS = 2000;
    /** So many nodes that nobody names are remembered at most; the one that was named longest ago gives way. */
    static final int REMEMBERED_MAX = 32;

    /**
     * Who is who for a control node.
     *
     * @param seeds control nodes that the settings name
     * @param voters the voters of the newest view known here, empty without one
     * @param heard control nodes that peers are in touch with
     * @param inTouch this node is proven to be in touch with a majority of the voters
     */
    public record Roster(
            Collection<NodeId> seeds, Collection<NodeId> voters, Collection<NodeId> heard, boolean inTouch) {

        private Set<NodeId> named() {
            Set<NodeId> named = new TreeSet<>(seeds);
            named.addAll(voters);
            named.addAll(heard);
            return named;
        }
    }

    /** When a node was last named, and last dialled although nobody named it. */
    private static final class Memory {
        long namedMs;
        long dialledMs;

        Memory(long nowMs) {
            namedMs = nowMs;
            dialledMs = nowMs;
        }
    }

    private final NodeId self;
    private final Map<NodeId, Memory> memories = new HashMap<>();

    /** A dialer of the control node at that address, which knows nobody. */
    public ControlPeerDialer(NodeId self) {
        this.self = self;
    }

    /**
     * The nodes that are to be dialled now.
     *
     * @param connected tells whether a connection to a node stands
     * @param nowMs steady time in ms
     */
    public List<NodeId> due(Roster roster, Predicate<NodeId> connected, long nowMs) {
        Set<NodeId> named = roster.named();
        remember(named, nowMs);
        boolean settled = roster.inTouch() && roster.voters().contains(self);
        List<NodeId> due = new ArrayList<>();
        for (NodeId node : named) {
            if (dials(node, settled) && !connected.test(node)) {
                due.add(node);
            }
        }
        memories.forEach((node, memory) -> {
            boolean rarely = !named.contains(node) && nowMs - memory.dialledMs >= REMEMBERED_PERIOD_MS;
            if (rarely && dials(node, settled) && !connected.test(node)) {
                memory.dialledMs = nowMs;
                due.add(node);
            }
        });
        return due;
    }

    private boolean dials(NodeId node, boolean settled) {
        return settled ? self.compareTo(node) < 0 : !self.equals(node);
    }

    private void remember(Set<NodeId> named, long nowMs) {
        for (NodeId node : named) {
            memories.computeIfAbsent(node, unknown -> new Memory(nowMs)).namedMs = nowMs;
        }
        memories.values().removeIf(memory -> nowMs - memory.namedMs > REMEMBERED_MS);
        while (memories.size() > named.size() + REMEMBERED_MAX) {
            memories.entrySet().stream()
                    .min(Map.Entry.comparingByValue((one, other) -> Long.compare(one.namedMs, other.namedMs)))
                    .ifPresent(oldest -> memories.remove(oldest.getKey()));
        }
    }
}
