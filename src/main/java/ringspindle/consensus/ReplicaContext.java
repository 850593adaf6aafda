package ringspindle.consensus;

import java.util.ArrayList;
import java.util.List;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/**
 * This node as a member of the control side: who it is, the view in force, its place there, and the time and links of the
 * input at hand. Other packages read it; only the agreement on views changes the view.
 */
public final class ReplicaContext {
    /** A gap between two ticks that is taken for a pause of this node; after it links are given time to show. */
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

    // ---- the input at hand

    /** Sets the time of the input at hand, in milliseconds of the node's steady clock. */
    public void advanceTo(long nowMs) {
        this.nowMs = nowMs;
    }

    /** The time of the input at hand, in milliseconds of the node's steady clock. */
    public long nowMs() {
        return nowMs;
    }

    /** A tick; true if this node was paused before it, so that it cannot tell how long the others were silent. */
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

    // ---- links, as of the last tick

    /** Links as of the last tick, null before the first. */
    Connectivity connectivity() {
        return connectivity;
    }

    /** False before the first tick: nothing is known of any link yet. */
    public boolean connectivityKnown() {
        return connectivity != null;
    }

    /** True while this node and the peer heard each other lately, as of the last tick. */
    public boolean connectedTo(NodeId peer) {
        return connectivity != null && connectivity.connected(self, peer);
    }

    boolean leaving(NodeId node) {
        return connectivity != null && connectivity.leaving(node);
    }

    // ---- the view

    /** The newest view, null if unknown. */
    public View view() {
        return state.view();
    }

    /** The node takes this newer view for the one in force. */
    void adoptView(View newer) {
        state = state.withView(newer);
    }

    /** The node remembers what it promised, or has relearned it. */
    void participate(View currentView) {
        state = new MemberState.Participating(currentView);
    }

    /** Epoch of the newest view, which must be known. */
    public long epoch() {
        return view().epoch();
    }

    /** False while this node may have forgotten what it promised, and so takes no part; if true, the view is known. */
    public boolean participates() {
        return state instanceof MemberState.Participating;
    }

    /** True if this node votes on the next view. */
    public boolean votes() {
        return view().voters().contains(self);
    }

    /** True if this node is a member of the chain. */
    public boolean inChain() {
        return view().chain().contains(self);
    }

    /** True if this node is first in the chain. */
    public boolean isHead() {
        return view().head().equals(self);
    }

    /** The next member of the chain, null if there is none. */
    public NodeId successor() {
        List<NodeId> chain = view().chain();
        int index = chain.indexOf(self);
        return index < 0 || index + 1 >= chain.size() ? null : chain.get(index + 1);
    }

    /** The member before this one, null if there is none. */
    public NodeId predecessor() {
        int index = view().chain().indexOf(self);
        return index <= 0 ? null : view().chain().get(index - 1);
    }

    /** The voters of the view, members of the chain first and in its order. */
    List<NodeId> votersInChainOrder() {
        List<NodeId> order = new ArrayList<>(view().chain());
        view().voters().stream().filter(voter -> !order.contains(voter)).forEach(order::add);
        return order;
    }
}
