package ringspindle.replication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The links of a {@link ModelWalk}: delays and noise drawn from the seed, cuts, and what waits for a cut or a freeze to end. */
final class ModelNetwork {
    private static final long RECONNECT_MS = 50;
    /** Longest that a message is held up; a connection silent for that long is closed by its far end. */
    private static final int HELD_UP_MS = 1800;

    private static final int LINK_DELAY_MS = 20;

    private record HeldUp(ModelWorld.Envelope envelope, long sinceMs) {}

    private final ModelWalk walk;
    private final long seed;
    private final Map<Long, Long> linkFreeMs = new HashMap<>();
    private final Map<Long, ModelRandom> linkRandom = new HashMap<>();
    private final Map<Integer, List<ModelWorld.Envelope>> waitingForThaw = new HashMap<>();
    private final List<HeldUp> waitingForLink = new ArrayList<>();
    private final Set<Long> heldLinks = new HashSet<>();
    private long noiseUntilMs;
    private int noise;

    ModelNetwork(ModelWalk walk, long seed) {
        this.walk = walk;
        this.seed = seed;
    }

    /** For that time one message in {@code oneIn} is dropped, held up or delivered twice. */
    void noise(long forMs, int oneIn) {
        noiseUntilMs = walk.world.nowMs + forMs;
        noise = oneIn;
    }

    /** The process ended: what waited for it is lost. */
    void ended(ModelNode node) {
        waitingForThaw.remove(node.slot);
    }

    /** The process runs again, and gets what came meanwhile. */
    void thawed(ModelNode node) {
        List<ModelWorld.Envelope> waiting = waitingForThaw.remove(node.slot);
        if (waiting != null) {
            waiting.forEach(this::deliver);
        }
    }

    private static long link(ModelWorld.Envelope envelope) {
        return link(envelope.from(), envelope.to());
    }

    private static long link(ModelNode from, ModelNode to) {
        return (long) from.slot << 32 | to.slot;
    }

    /** Delivers, drops, holds up or doubles what a machine sends. */
    void sent(ModelWorld.Envelope envelope) {
        long link = link(envelope);
        ModelRandom random = linkRandom.computeIfAbsent(link, k -> new ModelRandom(seed, k + 1_000_000));
        int delayMs = 1 + random.below(LINK_DELAY_MS);
        int choice = random.below(3 * 1000);
        boolean noisy = walk.world.nowMs < noiseUntilMs && choice / 3 % noise == 0;
        if (noisy && choice % 3 == 0) {
            return;
        }
        if (noisy && choice % 3 == 1) {
            walk.in(delayMs + choice % HELD_UP_MS, () -> deliver(envelope));
            return;
        }
        if (noisy) {
            walk.in(delayMs + choice % HELD_UP_MS, () -> deliver(envelope));
        }
        long whenMs = Math.max(linkFreeMs.getOrDefault(link, 0L), walk.world.nowMs + delayMs);
        linkFreeMs.put(link, whenMs);
        walk.at(whenMs, () -> deliver(envelope));
    }

    void deliver(ModelWorld.Envelope envelope) {
        if (!walk.world.arrives(envelope)) {
            return;
        }
        if (walk.world.isCut(envelope.from(), envelope.to())) {
            if (heldLinks.contains(link(envelope))) {
                waitingForLink.add(new HeldUp(envelope, walk.world.nowMs));
            }
            return;
        }
        if (envelope.to().frozen) {
            waitingForThaw
                    .computeIfAbsent(envelope.to().slot, k -> new ArrayList<>())
                    .add(envelope);
            return;
        }
        walk.world.deliver(envelope);
    }

    /** Cuts one direction; what is sent meanwhile is lost, or held until the cut heals. */
    void cut(ModelNode from, ModelNode to, long forMs, boolean held) {
        long link = link(from, to);
        walk.world.cut(from, to);
        if (held) {
            heldLinks.add(link);
        }
        walk.in(forMs, () -> {
            walk.world.heal(from, to);
            if (!walk.world.isCut(from, to)) {
                heldLinks.remove(link);
                release(link);
                walk.in(RECONNECT_MS, () -> walk.world.connect(from, to));
            }
        });
    }

    private void release(long link) {
        List<HeldUp> due = waitingForLink.stream()
                .filter(held -> link(held.envelope()) == link)
                .toList();
        waitingForLink.removeAll(due);
        for (HeldUp held : due) {
            if (walk.world.nowMs - held.sinceMs() < HELD_UP_MS) {
                deliver(held.envelope());
            }
        }
    }
}
