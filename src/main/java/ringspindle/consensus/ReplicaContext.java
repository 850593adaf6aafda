package ringspindle.consensus;

import java.util.ArrayList;
import java.util.List;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/**
 * The node's identity, current view and role in it, and the time and connectivity of the current input. Other packages
 * only read it; view consensus alone changes the view.
 */
public final class ReplicaContext {
    /**
     * A longer gap between two ticks counts as a pause of this process; connectivity needs as long to become known
     * again.
     */
    private static final long PAUSE_THRESHOLD_MS = 500;

    private static final long NEVER = -1;

    private final NodeId self;
    private final List<NodeId> seeds;
    private MemberState state = new MemberState.Relearning(null);
    private Connectivity connectivity;
    private long nowMs;
    private long lastTickMs = NEVER;
    private long lastPauseMs = Long.MIN_VALUE / 2;

    ReplicaContext(NodeId self, List<NodeId> seeds) {
        this.self = self;
        this.seeds = List.copyOf(seeds);
    }

    /** The address of this node. */
    public NodeId self() {
        return self;
    }

    List<NodeId> seeds() {
        return seeds;
    }

    // ---- the current input

    /** Sets the time of the current input, in milliseconds of the node's monotonic clock. */
    public void advanceTo(long nowMs) {
        this.nowMs = nowMs;
    }

    /** The time of the current input, in milliseconds of the node's monotonic clock. */
    public long nowMs() {
        return nowMs;
    }

    /** Processes a tick; returns true after a pause of this node, which makes earlier silence of peers meaningless. */
    boolean tick(long nowMs, Connectivity connectivity) {
        advanceTo(nowMs);
        this.connectivity = connectivity;
        boolean paused = lastTickMs >= 0 && nowMs - lastTickMs > PAUSE_THRESHOLD_MS;
        lastTickMs = nowMs;
        if (paused) {
            lastPauseMs = nowMs;
        }
        return paused;
    }

    boolean recentlyPaused() {
        return nowMs - lastPauseMs < PAUSE_THRESHOLD_MS;
    }

    // ---- connectivity as of the last tick

    /** The connectivity as of the last tick, null before the first one. */
    Connectivity connectivity() {
        return connectivity;
    }

    /** Whether connectivity is known, which it is from the first tick on. */
    public boolean connectivityKnown() {
        return connectivity != null;
    }

    /** Whether this node and the peer had recently heard from each other as of the last tick. */
    public boolean connectedTo(NodeId peer) {
        return connectivity != null && connectivity.connected(self, peer);
    }

    boolean leaving(NodeId node) {
        return connectivity != null && connectivity.leaving(node);
    }

    // ---- the view

    /** The newest known view, or null. */
    public View view() {
        return state.view();
    }

    /** Makes a newer view the current one. */
    void adoptView(View newer) {
        state = state.withView(newer);
    }

    /** Starts participating, with promises that were read from disk or relearned. */
    void participate(View currentView) {
        state = new MemberState.Participating(currentView);
    }

    /** The epoch of the newest view, which must be known. */
    public long epoch() {
        return view().epoch();
    }

    /** Whether this node knows its promises and participates; if so, the view is known. */
    public boolean participates() {
        return state instanceof MemberState.Participating;
    }

    /** Whether this node votes on the next view. */
    public boolean votes() {
        return view().voters().contains(self);
    }

    /** Whether this node is a member of the chain. */
    public boolean inChain() {
        return view().chain().contains(self);
    }

    /** Whether this node is the head of the chain. */
    public boolean isHead() {
        return view().head().equals(self);
    }

    /** The next member of the chain, or null. */
    public NodeId successor() {
        List<NodeId> chain = view().chain();
        int index = chain.indexOf(self);
        return index < 0 || index + 1 >= chain.size() ? null : chain.get(index + 1);
    }

    /** The previous member of the chain, or null. */
    public NodeId predecessor() {
        int index = view().chain().indexOf(self);
        return index <= 0 ? null : view().chain().get(index - 1);
    }

    /** The voters of the view: chain members first, in chain order, then the others. */
    List<NodeId> votersInChainOrder() {
        List<NodeId> order = new ArrayList<>(view().chain());
        view().voters().stream().filter(voter -> !order.contains(voter)).forEach(order::add);
        return order;
    }
}
