package ringspindle.scale;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.Random;
import ringspindle.api.Outcome;
import ringspindle.config.NodeConfig;
import ringspindle.config.Validated;
import ringspindle.controlplane.SimulatedControlNode;
import ringspindle.dataplane.HollowDataNode;
import ringspindle.loadbalancing.LoadBalancer;
import ringspindle.loadbalancing.SelectionRequests;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.NodeId;
import ringspindle.retry.AttemptOutcome;

/** A fleet of hollow nodes in one process and virtual time, from one seed. */
final class HollowFleet {
    /**
     * What is varied.
     *
     * @param nodes data nodes
     * @param zones each with one control node; two zones make a region
     * @param changesPer10S configurations put in ten seconds
     */
    record Size(int nodes, int engines, int routes, int zones, int changesPer10S) {
        /** Bytes that this may come to, measured on smaller ones and doubled: checked before anything starts. */
        long bytes() {
            return 60_000_000L
                    + nodes * (120_000L + engines * 1_600L + routes * 900L)
                    + zones * (400_000L + engines * 2_000L + nodes * 1_200L);
        }
    }

    /** What came out, for data nodes on average, for control nodes on average and for the busiest of them. */
    record Row(Size size, Map<String, Double> figures) {}

    private static final int WARM_MS = 9000;
    private static final int RUN_MS = 10_000;
    private static final int BEAT_MS = 1200;
    private static final int REQUESTS_PER_S = 10;

    private final Size size;
    private final SimulatedNetwork net = new SimulatedNetwork();
    private final Random luck;
    private final List<SimulatedControlNode> controls = new ArrayList<>();
    private final List<NodeId> controlIds = new ArrayList<>();
    private List<HollowDataNode> datas = new ArrayList<>();
    private final List<NodeId> dataIds = new ArrayList<>();
    private long revision;
    private long known;
    private int changes;
    private double slowestMs;

    HollowFleet(Size size, long seed) {
        this.size = size;
        luck = new Random(seed);
    }

    private static String zone(int z) {
        return "z" + z;
    }

    private NodeConfig settings(String name, String ip, int z, boolean control) {
        Properties p = new Properties();
        for (int i = 0; i < size.zones(); i++) {
            p.setProperty("zone." + zone(i), "r" + i / 2);
        }
        p.putAll(Map.of(
                "node.name",
                name,
                "node.ip",
                ip,
                "node.zone",
                zone(z),
                "node.region",
                "r" + z / 2,
                "listen.inner",
                "7000",
                "seeds",
                "10.0.0.1:80,10.0.1.1:80,10.0.2.1:80",
                "engine.beatMs",
                Integer.toString(BEAT_MS),
                "loss.nodes",
                "2",
                "node.bootstrap",
                "true"));
        p.putAll(Map.of(
                "bound.retryRatio",
                "0.2",
                "bound.retrySlack",
                "194",
                "bound.warmupOverrun",
                "1.5",
                "bound.warmupSlack",
                "5"));
        p.setProperty(control ? "listen.control" : "listen.frontend", ip + ":80");
        return ((Validated.Valid<NodeConfig>) NodeConfig.check(p)).value();
    }

    private byte[] config(long rev) {
        StringBuilder b =
                new StringBuilder("{\"revision\":" + rev + ",\"services\":[{\"name\":\"llm\",\"maxConnections\":650,"
                        + "\"warmupS\":3,\"warmupPerS\":27}],\"limits\":{},\"routes\":[");
        for (int i = 0; i < size.routes(); i++) {
            b.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"r-")
                    .append(i)
                    .append("\",\"host\":\"h")
                    .append(i % 50)
                    .append(".example\",\"pathPrefix\":\"/")
                    .append(i)
                    .append("/\",\"routeKind\":\"streaming\",\"deadlineMs\":")
                    .append(4000 + (rev + i) % 1000)
                    .append(",\"targetLatencyMs\":610,\"priority\":0,\"service\":\"llm\",")
                    .append(
                            "\"maxAttempts\":1,\"sticky\":true,\"resumable\":false,\"tokenGapMs\":800,\"homeRegions\":[]}");
        }
        return b.append("]}").toString().getBytes(UTF_8);
    }

    private void change() {
        long base = known;
        long next = base + 1;
        byte[] body = config(next);
        SimulatedControlNode via = controls.get(luck.nextInt(controls.size()));
        net.charge(
                controlIds.get(controls.indexOf(via)),
                () -> via.put(base, body, o -> {
                    if (o == Outcome.TAKEN) {
                        known = next;
                        long at = net.nowMs();
                        if (base > 0) {
                            changes++;
                            watch(next, at);
                        }
                    } else {
                        net.at(200, this::change);
                    }
                }));
    }

    /** How long after the acknowledgement the last node has it in force. */
    private void watch(long rev, long sinceMs) {
        if (datas.stream().allMatch(d -> d.revision() >= rev)) {
            slowestMs = Math.max(slowestMs, net.nowMs() - sinceMs);
        } else {
            net.at(20, () -> watch(rev, sinceMs));
        }
    }

    Row run() throws Exception {
        for (int z = 0; z < size.zones(); z++) {
            String ip = "10.0." + z + ".1";
            controlIds.add(NodeId.of(ip + ":7000"));
            controls.add(new SimulatedControlNode(settings("c" + z, ip, z, true), net.means(1), net::at));
        }
        for (int i = 0; i < size.nodes(); i++) {
            int z = i % size.zones();
            String ip = "10." + (1 + i / 60_000) + "." + i / 250 % 250 + "." + (2 + i % 250);
            dataIds.add(NodeId.of(ip + ":7001"));
            datas.add(new HollowDataNode(settings("d" + i, ip, z, false), net.means(1)));
        }
        for (int i = 0; i < controls.size(); i++) {
            tick(controlIds.get(i), controls.get(i)::tick, SimulatedControlNode.tickMs());
        }
        for (int i = 0; i < datas.size(); i++) {
            tick(dataIds.get(i), datas.get(i)::tick, HollowDataNode.tickMs());
        }
        for (int i = 0; i < size.engines(); i++) {
            engine(i);
        }
        net.at(2500, this::change);
        net.runFor(WARM_MS);
        for (HollowDataNode d : datas) {
            net.at(luck.nextInt(1000 / REQUESTS_PER_S), () -> request(d));
        }
        net.runFor(2000);
        for (int i = 0; i < size.changesPer10S(); i++) {
            net.at(500 + 9000.0 * i / size.changesPer10S(), this::change);
        }
        net.meters.values().forEach(SimulatedNetwork.Meter::reset);
        net.runFor(RUN_MS);
        Map<String, Double> f = new LinkedHashMap<>();
        means("data", dataIds, f);
        means("control", controlIds, f);
        NodeId busiest = controlIds.stream()
                .max(Comparator.comparingLong(n -> net.meters.get(n).cpuNs))
                .orElseThrow();
        means("busiest", List.of(busiest), f);
        f.put("voters", (double) controls.get(0).voterCount());
        f.put("ready", (double) controls.get(controls.size() - 1).readyDataNodes());
        f.put("configured", datas.stream().filter(d -> d.revision() > 0).count() / (double) datas.size());
        f.put("changes", (double) changes);
        f.put("slowestChangeMs", slowestMs);
        heap(f);
        return new Row(size, f);
    }

    private void tick(NodeId id, Runnable r, int everyMs) {
        double first = luck.nextDouble() * everyMs;
        Runnable[] again = new Runnable[1];
        again[0] = () -> {
            net.charge(id, r);
            net.at(everyMs, again[0]);
        };
        net.at(first, again[0]);
    }

    private void engine(int i) {
        int z = i % size.zones();
        Engine e = new Engine(
                32, 0, false, -1, 1, "llm", "10.200." + i / 250 + "." + (1 + i % 250) + ":8080", zone(z), "v1");
        long[] seq = {0};
        Runnable[] again = new Runnable[1];
        again[0] = () -> {
            if (controls.get(z).quorate()) {
                net.charge(controlIds.get(z), () -> controls.get(z)
                        .heartbeat("i-" + Integer.toHexString(i * 7919 + 0x10000000), e, ++seq[0]));
            }
            net.at(BEAT_MS, again[0]);
        };
        net.at(luck.nextInt(BEAT_MS), again[0]);
    }

    private void request(HollowDataNode d) {
        LoadBalancer.SelectionRequest ask = SelectionRequests.of("llm")
                .prompt(0, 92, 291)
                .output(40)
                .random(luck.nextLong())
                .build();
        NodeId id = dataIds.get(datas.indexOf(d));
        net.charge(id, () -> {
            if (d.loadBalancer().select(ask, net.nowMs()) instanceof LoadBalancer.SelectedEngine c) {
                d.loadBalancer().onRequestSent(c.id(), net.nowMs());
                net.at(250, () -> d.loadBalancer()
                        .onAttemptEnded(c.id(), ask, AttemptOutcome.ANSWERED, 90, net.nowMs()));
            }
        });
        net.at(1000.0 / REQUESTS_PER_S, () -> request(d));
    }

    private void means(String who, List<NodeId> ids, Map<String, Double> f) {
        double s = RUN_MS / 1000.0 * ids.size();
        double[] n = new double[8];
        for (NodeId id : ids) {
            SimulatedNetwork.Meter m = net.meters.get(id);
            n[0] += m.inBytes;
            n[1] += m.outBytes[0];
            n[2] += m.outBytes[1];
            n[3] += m.outBytes[2];
            n[4] += m.inMessages;
            n[5] += m.outMessages;
            n[6] += m.cpuNs / 1000.0;
        }
        String[] names = {"InBytes", "ZoneBytes", "ZonesBytes", "RegionsBytes", "InMessages", "OutMessages", "CpuUs"};
        for (int i = 0; i < names.length; i++) {
            f.put(who + names[i], n[i] / s);
        }
    }

    private static long used() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /** Retained heap, by letting data nodes go: what is left of events is small beside them. */
    private void heap(Map<String, Double> f) {
        long with = used();
        int n = datas.size();
        datas = new ArrayList<>();
        net.forgetData(dataIds);
        f.put("dataHeapKb", (with - used()) / 1024.0 / n);
        f.put("fleetHeapMb", with / 1048576.0);
    }
}
