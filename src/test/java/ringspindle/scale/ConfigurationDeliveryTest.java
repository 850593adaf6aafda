package ringspindle.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Digest;
import ringspindle.protocol.Message.Heartbeat;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.Message.News;
import ringspindle.protocol.NodeId;
import ringspindle.scale.SimulatedNetwork.Fate;

/**
 * Whatever happens to one of the messages that bring a configuration to a data node, at any step of its sessions, the newest
 * one is in force there in time, and an older one never comes back.
 */
@Timeout(300)
class ConfigurationDeliveryTest {
    /** As the deployments allow for a configuration to be in force everywhere. */
    private static final int APPLY_MS = 2500;
    /** A node whose connection was harmed is in touch again after so long, as the deployments have it. */
    private static final int CONTACT_MS = 4000;

    private static final int STEPS = 5;
    private static final int CHANGES = 3;
    private static final int BETWEEN_CHANGES_MS = 700;
    private static final int LOOK_MS = 20;

    /** What else goes on meanwhile. */
    private enum Circumstance {
        /** Nothing. */
        NONE,
        /** The data node has just started: the steps are those of its first sessions. */
        FIRST_CONTACT,
        /** The control node that it hears from is killed, so that its sessions change. */
        CONTROL_NODE_CHANGES,
        /** Putting the next configurations into force fails. */
        APPLY_FAILS,
        /** Repairs never arrive, as if digests were equal though the facts differ. */
        NO_REPAIR
    }

    /** Harms the n-th message of a kind to or from data nodes. */
    private static final class Harm implements SimulatedNetwork.Interference {
        private final Class<? extends Message> kind;
        private final Fate fate;
        private final Circumstance circumstance;
        private int untilHarm;
        private boolean armed;
        private boolean done;

        Harm(Class<? extends Message> kind, Fate fate, int step, Circumstance circumstance) {
            this.kind = kind;
            this.fate = fate;
            this.circumstance = circumstance;
            untilHarm = step;
        }

        @Override
        public Fate fate(NodeId from, NodeId to, Message message) {
            if (circumstance == Circumstance.NO_REPAIR && message instanceof Digest) {
                return new Fate.Vanishes();
            }
            boolean concerned = isData(from) || isData(to);
            if (armed && !done && concerned && kind.isInstance(message) && untilHarm-- == 0) {
                done = true;
                return fate;
            }
            return new Fate.Arrives(1, 0);
        }

        private static boolean isData(NodeId node) {
            return node.ip().startsWith("10.1.");
        }
    }

    static Stream<Arguments> harms() {
        List<Arguments> harms = new ArrayList<>();
        List<Fate> fates =
                List.of(new Fate.Reset(), new Fate.Vanishes(), new Fate.Arrives(2, 0), new Fate.Arrives(1, 1500));
        for (Circumstance circumstance : Circumstance.values()) {
            for (Class<? extends Message> kind : List.of(Hello.class, Heartbeat.class, News.class, Digest.class)) {
                for (Fate fate : fates) {
                    boolean unmended = circumstance == Circumstance.NO_REPAIR && fate instanceof Fate.Vanishes;
                    if (!unmended) {
                        harms.add(Arguments.of(circumstance, kind, fate));
                    }
                }
            }
        }
        return harms.stream();
    }

    @ParameterizedTest
    @MethodSource("harms")
    void theNewestConfigurationIsInForceInTime(Circumstance circumstance, Class<? extends Message> kind, Fate fate) {
        for (int step = 0; step < STEPS; step++) {
            Harm harm = new Harm(kind, fate, step, circumstance);
            assertEquals(List.of(), play(harm, circumstance), kind.getSimpleName() + " " + step);
        }
    }

    private static List<String> play(Harm harm, Circumstance circumstance) {
        PeeringWorld world = new PeeringWorld(7, 3, 2);
        List<String> broken = new ArrayList<>();
        world.change();
        world.network.runFor(APPLY_MS);
        world.network.interfere(harm);
        harm.armed = true;
        PeeringWorld.Node node = world.datas.get(0);
        disturb(world, node, circumstance);
        long[] seen = {-1};
        watch(world, node, seen, broken);
        for (int change = 0; change < CHANGES; change++) {
            world.change();
            world.network.runFor(BETWEEN_CHANGES_MS);
        }
        boolean harmed = circumstance == Circumstance.FIRST_CONTACT
                || circumstance == Circumstance.CONTROL_NODE_CHANGES
                || harm.done && !(harm.fate instanceof Fate.Arrives);
        world.network.runFor((harmed ? CONTACT_MS : 0) + APPLY_MS - BETWEEN_CHANGES_MS);
        assertTrue(world.acknowledged() > 1, "changes are acknowledged");
        if (node.data.revision() < world.acknowledged()) {
            broken.add("revision " + node.data.revision() + " is in force, " + world.acknowledged() + " acknowledged");
        }
        return broken;
    }

    private static void disturb(PeeringWorld world, PeeringWorld.Node node, Circumstance circumstance) {
        switch (circumstance) {
            case FIRST_CONTACT -> {
                world.network.kill(node.id);
                node.restart(1, false);
                world.network.runFor(1);
            }
            case CONTROL_NODE_CHANGES -> {
                PeeringWorld.Node heard = world.controls.get(0);
                world.network.kill(heard.id);
                heard.restart(500, false);
            }
            case APPLY_FAILS -> node.data.failToConfigure(2);
            case NONE, NO_REPAIR -> {
                // nothing more
            }
        }
    }

    /** Looks again and again which configuration is in force: it may only become newer. */
    private static void watch(PeeringWorld world, PeeringWorld.Node node, long[] seen, List<String> broken) {
        long revision = node.data.revision();
        if (revision < seen[0]) {
            broken.add("goes back from " + seen[0] + " to " + revision);
        }
        seen[0] = revision;
        world.network.at(LOOK_MS, () -> watch(world, node, seen, broken));
    }
}
