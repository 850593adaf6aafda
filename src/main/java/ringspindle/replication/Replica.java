package ringspindle.replication;

import it.unimi.dsi.fastutil.longs.Long2ObjectMap;
import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/**
 * What the parts of one replica share: who it is, the view in force, the time and the links of the input at hand, and what
 * that input leads to: messages, writes, answers.
 */
final class Replica {
    /** A gap between two ticks that is taken for a pause of this node; after it links are given time to show. */
    private static final long PAUSE_MS = 500;

    final NodeId self;
    final List<NodeId> seeds;
    final Random random;
    private final Long2ObjectMap<Runnable> afterStore = new Long2ObjectOpenHashMap<>();
    private final ArrayDeque<Message> toSelf = new ArrayDeque<>();
    private List<ReplicatedState.Out> outputs = new ArrayList<>();
    private View view;
    private boolean blank;
    private ReplicatedState.Reach reach;
    private long nowMs;
    private long lastTickMs = -1;
    private long pausedMs = Long.MIN_VALUE / 2;
    private long nextToken;

    Replica(NodeId self, List<NodeId> seeds, Random random) {
        this.self = self;
        this.seeds = List.copyOf(seeds);
        this.random = random;
    }

    // ---- the input at hand

    void at(long nowMs) {
        this.nowMs = nowMs;
    }

    long nowMs() {
        return nowMs;
    }

    /** A tick; true if this node was paused before it, so that it cannot tell how long the others were silent. */
    boolean tick(long nowMs, ReplicatedState.Reach reach) {
        at(nowMs);
        this.reach = reach;
        boolean paused = lastTickMs >= 0 && nowMs - lastTickMs > PAUSE_MS;
        lastTickMs = nowMs;
        if (paused) {
            pausedMs = nowMs;
        }
        return paused;
    }

    boolean justPaused() {
        return nowMs - pausedMs < PAUSE_MS;
    }

    // ---- links, as of the last tick

    /** Links as of the last tick, null before the first. */
    ReplicatedState.Reach reach() {
        return reach;
    }

    boolean linked(NodeId peer) {
        return reach != null && reach.linked(self, peer);
    }

    boolean leaving(NodeId node) {
        return reach != null && reach.leaving(node);
    }

    // ---- the view

    /** The newest view, null if unknown. */
    View view() {
        return view;
    }

    void view(View newest) {
        view = newest;
    }

    long epoch() {
        return view.epoch();
    }

    /** True while this node may have forgotten what it promised, and so takes no part. */
    boolean blank() {
        return blank;
    }

    void blank(boolean is) {
        blank = is;
    }

    boolean votes() {
        return view.voters().contains(self);
    }

    boolean inChain() {
        return view.chain().contains(self);
    }

    boolean isHead() {
        return view.head().equals(self);
    }

    /** The next member of the chain, null if there is none. */
    NodeId successor() {
        int index = view.chain().indexOf(self);
        return index < 0 || index + 1 >= view.chain().size()
                ? null
                : view.chain().get(index + 1);
    }

    /** The member before this one, null if there is none. */
    NodeId predecessor() {
        int index = view.chain().indexOf(self);
        return index <= 0 ? null : view.chain().get(index - 1);
    }

    // ---- outputs

    void send(NodeId to, Message message) {
        if (to.equals(self)) {
            toSelf.add(message);
        } else {
            outputs.add(new ReplicatedState.Out.Send(to, message));
        }
    }

    /** Writes and syncs the records, then goes on with {@code then}; a snapshot replaces all that was written before it. */
    void store(List<Message> records, boolean snapshot, Runnable then) {
        long token = nextToken++;
        afterStore.put(token, then);
        outputs.add(new ReplicatedState.Out.Store(token, records, snapshot));
    }

    void stored(long token) {
        Runnable then = afterStore.remove(token);
        if (then != null) {
            then.run();
        }
    }

    void emit(ReplicatedState.Out output) {
        outputs.add(output);
    }

    long nextToken() {
        return nextToken++;
    }

    /** The next message of this node to itself, null if there is none. */
    Message pollSelf() {
        return toSelf.poll();
    }

    List<ReplicatedState.Out> takeOutputs() {
        List<ReplicatedState.Out> taken = outputs;
        outputs = new ArrayList<>();
        return taken;
    }
}
