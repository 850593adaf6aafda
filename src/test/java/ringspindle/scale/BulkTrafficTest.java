package ringspindle.scale;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import ringspindle.api.Outcome;
import ringspindle.protocol.NodeId;
import ringspindle.replication.CallKind;

/**
 * Bulk over the one connection that two nodes have, at the bandwidth of the smallest machines: no lease is lost, no view changes and no
 * order is refused for it.
 */
@Timeout(300)
class BulkTrafficTest {
    private static final double MEGABITS_PER_S = 7;
    private static final int ORDER_LIMIT_MS = 5000;
    private static final int LOOK_MS = 100;
    private static final int ROUTES = 22_000;
    /** 47,000 changes a day. */
    private static final int CHANGE_PERIOD_MS = 1840;

    /** On each of two sides. By hand it was played with 125,000, which takes minutes. */
    private static final int INCREMENTS = Integer.getInteger("ringspindle.increments", 8000);

    private final PeeringWorld world = new PeeringWorld(5, 5, 4);
    private final SimulatedNetwork network = world.network;
    private final List<String> broken = new ArrayList<>();
    /** Nodes whose touch with a majority is watched. */
    private final Set<PeeringWorld.Node> watched = new HashSet<>();

    private final List<String> outcomes = new ArrayList<>();
    private int orders;
    private int taken;
    private long epoch;

    private void watch() {
        for (PeeringWorld.Node node : watched) {
            if (!node.control.majorityReachable()) {
                broken.add(network.nowMs() + ": " + node.id + " is out of touch");
            } else if (node.control.epoch() != epoch) {
                broken.add(network.nowMs() + ": " + node.id + " is in view " + node.control.epoch());
            }
        }
        network.at(LOOK_MS, this::watch);
    }

    private void watchFromNow() {
        epoch = world.controls.get(0).control.epoch();
        watch();
    }

    /** One order a second, each through another node; it must be taken in time. */
    private void orderEverySecond() {
        PeeringWorld.Node via = world.controls.get(orders % world.controls.size());
        boolean[] answered = {false};
        int number = orders++;
        via.control.call(CallKind.EVACUATE, "zone" + number, new byte[0], outcome -> {
            answered[0] = true;
            taken += outcome == Outcome.TAKEN ? 1 : 0;
        });
        network.at(ORDER_LIMIT_MS, () -> {
            if (!answered[0]) {
                broken.add("order " + number + " is not answered in time");
            }
        });
        network.at(1000, this::orderEverySecond);
    }

    private void add(PeeringWorld.Node node, String side, int count) {
        for (int i = 0; i < count; i++) {
            node.control.add("t", side + "-" + i, outcome -> {});
            if (i % 500 == 0) {
                network.runFor(20);
            }
        }
    }

    @Test
    void healingAfterManyIncrementsOnBothSidesHoldsUpNothing() {
        PeeringWorld.Node cut = world.controls.get(4);
        network.cut(Set.of(cut.id), 30_000);
        network.runFor(5000);
        add(world.controls.get(0), "a", INCREMENTS);
        add(cut, "b", INCREMENTS);
        network.limitLinks(MEGABITS_PER_S);
        network.runFor(30_000);
        watched.addAll(world.controls.subList(0, 4));
        watchFromNow();
        network.cut(Set.of(cut.id), 0);
        orderEverySecond();
        network.runFor(60_000);
        assertEquals(
                List.of(),
                broken.stream().filter(line -> !line.contains("view")).limit(5).toList());
        assertTrue(taken >= orders - ORDER_LIMIT_MS / 1000, taken + " of " + orders);
        for (PeeringWorld.Node node : world.controls) {
            assertEquals(Optional.of(BigInteger.valueOf(2L * INCREMENTS)), node.control.total("t"), node.id.toString());
        }
    }

    private static String route(int i, long revision) {
        int deadlineMs = 4000 + (int) ((revision + i) % 1000);
        return "{\"name\":\"r-" + i + "\",\"host\":\"h" + i % 50 + ".example\",\"pathPrefix\":\"/" + i
                + "/\",\"routeKind\":\"streaming\",\"deadlineMs\":" + deadlineMs + ",\"service\":\"llm\"}";
    }

    private static byte[] manyRoutes(long revision) {
        StringBuilder json = new StringBuilder(
                "{\"revision\":" + revision + ",\"services\":[{\"name\":\"llm\"}]," + "\"limits\":{},\"routes\":[");
        for (int i = 0; i < ROUTES; i++) {
            json.append(i == 0 ? "" : ",").append(route(i, revision));
        }
        return json.append("]}").toString().getBytes(UTF_8);
    }

    /** The configuration is there before links are narrow: a whole one is put once, and then changed item by item. */
    private void putManyRoutes() {
        world.controls.get(0).control.put(0, manyRoutes(1), outcome -> assertEquals(Outcome.TAKEN, outcome));
        network.runFor(4000);
        world.datas.forEach(node -> assertEquals(1, node.data.revision()));
        network.limitLinks(MEGABITS_PER_S);
    }

    private void changeEveryPeriod(long revision, int times) {
        if (times == 0) {
            return;
        }
        orders++;
        String patch =
                "{\"revision\":" + revision + ",\"upserts\":{\"routes\":[" + route((int) revision, revision) + "]}}";
        PeeringWorld.Node via = world.controls.get((int) (revision % 4));
        long sentMs = network.nowMs();
        via.control.patch(revision - 1, patch.getBytes(UTF_8), outcome -> {
            taken += outcome == Outcome.TAKEN ? 1 : 0;
            outcomes.add(revision + " " + outcome + " after " + (network.nowMs() - sentMs) + " ms");
        });
        network.at(CHANGE_PERIOD_MS, () -> changeEveryPeriod(revision + 1, times - 1));
    }

    @Test
    void changesOfManyRoutesAndSnapshotsToAFreshDiskHoldUpNothing() {
        putManyRoutes();
        PeeringWorld.Node wiped = world.controls.get(4);
        watched.addAll(world.controls.subList(0, 4));
        watchFromNow();
        changeEveryPeriod(2, 4);
        network.runFor(4 * CHANGE_PERIOD_MS + ORDER_LIMIT_MS);
        assertEquals(List.of(), broken.stream().limit(5).toList());
        assertEquals(orders, taken, outcomes::toString);
        world.datas.forEach(node -> assertEquals(1 + orders, node.data.revision(), node.id.toString()));

        network.kill(wiped.id);
        wiped.restart(500, true);
        network.runFor(20_000);
        assertEquals(
                List.of(),
                broken.stream().filter(line -> !line.contains("view")).limit(5).toList());
        assertEquals(1 + orders, wiped.control.revision(), "the snapshot has come");
    }

    /** A node that stands still takes nothing: what waits for it is bounded, and the others go on. */
    @Test
    void aReaderThatStandsStillHoldsUpNobody() {
        putManyRoutes();
        PeeringWorld.Node still = world.controls.get(4);
        watched.addAll(world.controls.subList(0, 4));
        network.freeze(still.id, 20_000);
        network.runFor(10_000);
        watchFromNow();
        changeEveryPeriod(2, 3);
        add(world.controls.get(0), "a", 500);
        network.runFor(4 * CHANGE_PERIOD_MS + ORDER_LIMIT_MS);
        assertEquals(
                List.of(),
                broken.stream().filter(line -> !line.contains("view")).limit(5).toList());
        assertEquals(orders, taken, outcomes::toString);
        NodeId head = world.controls.get(0).id;
        assertTrue(network.mesh(head).pendingBytes(still.id) <= 8 << 20);
    }
}
