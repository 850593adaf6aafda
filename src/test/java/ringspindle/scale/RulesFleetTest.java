package ringspindle.scale;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ringspindle.api.Outcome;
import ringspindle.config.NodeConfig;
import ringspindle.config.Validated;
import ringspindle.controlplane.SimulatedControlNode;
import ringspindle.dataplane.HollowDataNode;
import ringspindle.protocol.NodeId;

/** Serving rules over a simulated fleet of real owners: changed under cut regions and lost nodes, all follow one in the end. */
class RulesFleetTest {
    private static final int ZONES = 6;

    private final SimulatedNetwork net = new SimulatedNetwork();
    private final List<SimulatedControlNode> controls = new ArrayList<>();
    private final List<NodeId> controlIds = new ArrayList<>();
    private final List<HollowDataNode> datas = new ArrayList<>();
    private final List<NodeId> dataIds = new ArrayList<>();
    private final Map<NodeId, List<Long>> followed = new TreeMap<>();
    private final Map<Long, Long> winners = new TreeMap<>();
    private long acked;
    private int refused;
    private boolean stress = true;
    private Random luck;

    private NodeConfig settings(String name, String ip, int z, boolean control) {
        Properties p = new Properties();
        for (int i = 0; i < ZONES; i++) {
            p.setProperty("zone.z" + i, "r" + i / 2);
        }
        p.putAll(Map.of(
                "node.name",
                name,
                "node.ip",
                ip,
                "node.zone",
                "z" + z,
                "node.region",
                "r" + z / 2,
                "listen.inner",
                "7000",
                "seeds",
                "10.0.0.1:80,10.0.2.1:80,10.0.4.1:80",
                "loss.nodes",
                "2",
                "node.bootstrap",
                "true"));
        p.setProperty(control ? "listen.control" : "listen.frontend", ip + ":80");
        return ((Validated.Valid<NodeConfig>) NodeConfig.check(p)).value();
    }

    private void tick(NodeId id, Runnable r, int everyMs) {
        Runnable[] again = new Runnable[1];
        again[0] = () -> {
            if (!net.down(id)) {
                net.charge(id, r);
            }
            net.at(everyMs, again[0]);
        };
        net.at(luck.nextInt(everyMs), again[0]);
    }

    private void start(long seed) throws Exception {
        luck = new Random(seed);
        for (int z = 0; z < ZONES; z++) {
            String ip = "10.0." + z + ".1";
            controlIds.add(NodeId.of(ip + ":7000"));
            controls.add(new SimulatedControlNode(settings("c" + z, ip, z, true), net.means(1), net::at));
            tick(controlIds.get(z), controls.get(z)::tick, SimulatedControlNode.tickMs());
        }
        for (int i = 0; i < 18; i++) {
            String ip = "10.1.0." + (2 + i);
            HollowDataNode d = new HollowDataNode(settings("d" + i, ip, i % ZONES, false), net.means(1));
            NodeId id = NodeId.of(ip + ":7001");
            dataIds.add(id);
            datas.add(d);
            tick(id, d::tick, HollowDataNode.tickMs());
            Runnable[] watch = new Runnable[1];
            watch[0] = () -> {
                List<Long> l = followed.computeIfAbsent(id, k -> new ArrayList<>());
                if (l.isEmpty() || l.get(l.size() - 1) != d.rules()) {
                    l.add(d.rules());
                }
                net.at(10, watch[0]);
            };
            net.at(0, watch[0]);
        }
        net.runFor(4000);
        String config = "{\"revision\":1,\"routes\":[],\"services\":[{\"name\":\"s\"}]}";
        controls.get(0).put(0, config.getBytes(UTF_8), o -> {});
        net.runFor(2000);
    }

    /** An operator that goes on from what it knows to be in force, through any control node that is up. */
    private void operator(long base, int n) {
        if (!stress) {
            return;
        }
        long next = base + 1 + luck.nextInt(3);
        int via = luck.nextInt(ZONES);
        if (net.down(controlIds.get(via))) {
            net.at(100, () -> operator(base, n));
            return;
        }
        String body = "{\"revision\":" + next + ",\"default\":{\"class\":{\"waitMs\":" + luck.nextInt(30_000) + "}}}";
        boolean[] done = {false};
        controls.get(via).putRules(base, body.getBytes(UTF_8), o -> {
            if (done[0]) {
                return;
            }
            done[0] = true;
            if (o == Outcome.TAKEN) {
                Long other = winners.put(base, next);
                assertTrue(other == null || other == next, "two winners on " + base);
                acked = Math.max(acked, next);
            } else {
                refused++;
            }
            net.at(200 + luck.nextInt(400), () -> operator(known(), n + 1));
        });
        net.at(1500, () -> {
            if (!done[0]) {
                done[0] = true;
                operator(known(), n + 1);
            }
        });
    }

    /** What an operator that reads back would find, or a little less. */
    private long known() {
        return Math.max(
                acked, datas.stream().mapToLong(HollowDataNode::rules).max().orElse(0));
    }

    private void trouble() {
        if (!stress) {
            return;
        }
        double forMs = 800 + luck.nextInt(2500);
        switch (luck.nextInt(4)) {
            case 0 -> {
                // a region is cut off
                int r = luck.nextInt(3);
                Set<NodeId> side = new TreeSet<>();
                for (int z = 0; z < ZONES; z++) {
                    if (z / 2 == r) {
                        side.add(controlIds.get(z));
                    }
                }
                for (int i = 0; i < dataIds.size(); i++) {
                    if (i % ZONES / 2 == r) {
                        side.add(dataIds.get(i));
                    }
                }
                net.cut(side, forMs);
            }
            case 1 -> net.freeze(controlIds.get(luck.nextInt(ZONES)), forMs);
            case 2 -> net.freeze(dataIds.get(luck.nextInt(dataIds.size())), forMs);
            default -> net.cut(Set.of(controlIds.get(luck.nextInt(ZONES))), forMs);
        }
        net.at(forMs + 3000, this::trouble);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void allFollowOneRevisionAfterItHealsAndNoneWentBack(long seed) throws Exception {
        start(seed);
        net.at(0, () -> operator(0, 0));
        net.at(60, () -> operator(0, 0));
        net.at(500, this::trouble);
        net.runFor(25_000);
        stress = false;
        net.runFor(12_000);
        assertTrue(acked > 5, "too little was acknowledged: " + acked);
        assertTrue(refused > 0, "two operators never met");
        for (int i = 0; i < datas.size(); i++) {
            assertTrue(
                    datas.get(i).rules() >= acked,
                    dataIds.get(i) + " follows " + datas.get(i).rules() + ", acknowledged was " + acked);
            assertEquals(datas.get(0).rules(), datas.get(i).rules(), "all follow the same");
        }
        followed.forEach((id, l) -> assertEquals(new ArrayList<>(new TreeSet<>(l)), l, id + " went back"));
        // every node says so, through the control node it reports to, and only those that did are counted
        Map<NodeId, Long> said = new TreeMap<>();
        controls.forEach(c -> c.reportedRevisions().forEach((node, rev) -> said.merge(node, rev, Math::max)));
        assertEquals(new TreeSet<>(dataIds), said.keySet());
        said.forEach((node, rev) -> assertEquals(datas.get(0).rules(), rev, node + " says " + rev));
    }
}
