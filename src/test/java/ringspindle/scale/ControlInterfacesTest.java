package ringspindle.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.LocalConnector;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ringspindle.config.NodeConfig;
import ringspindle.config.Validated;
import ringspindle.controlplane.SimulatedControlNode;
import ringspindle.dataplane.HollowDataNode;
import ringspindle.protocol.NodeId;

/** What every interface of a control node answers with a proven majority, cut off, frozen, and right after: docs/CONTROL-INTERFACES.md. */
@Timeout(120)
class ControlInterfacesTest {
    private static final int ZONES = 3;
    private static final int CUT_MS = 20_000;
    /** Until a cut or frozen node knows that no majority is proven. */
    private static final int NOTICED_MS = 1700;

    /** A request and how it is answered with a majority. */
    private record Ask(String line, String ifMatch, String body) {}

    /** An answer as it came over the wire. */
    private record Answer(int status, String head, String body) {}

    private final SimulatedNetwork net = new SimulatedNetwork();
    private final List<SimulatedControlNode> controls = new ArrayList<>();
    private final List<NodeId> controlIds = new ArrayList<>();
    private final List<HollowDataNode> datas = new ArrayList<>();
    private final List<NodeId> dataIds = new ArrayList<>();
    private final Server server = new Server();
    private final List<LocalConnector> doors = new ArrayList<>();
    private final BlockingQueue<String> handled = new LinkedBlockingQueue<>();

    private NodeConfig settings(String name, String ip, int z, boolean control) {
        Properties p = new Properties();
        for (int i = 0; i < ZONES; i++) {
            p.setProperty("zone.z" + i, "r" + i);
        }
        p.putAll(Map.of(
                "node.name",
                name,
                "node.ip",
                ip,
                "node.zone",
                "z" + z,
                "node.region",
                "r" + z,
                "listen.inner",
                "7000",
                "seeds",
                "10.0.0.1:80,10.0.1.1:80,10.0.2.1:80",
                "loss.nodes",
                "1",
                "node.bootstrap",
                "true"));
        p.setProperty(control ? "listen.control" : "listen.frontend", ip + ":80");
        return ((Validated.Valid<NodeConfig>) NodeConfig.check(p)).value();
    }

    private void every(NodeId id, Runnable r, int everyMs) {
        net.at(everyMs, () -> {
            if (!net.down(id)) {
                r.run();
            }
            every(id, r, everyMs);
        });
    }

    private void data(int z) throws Exception {
        String ip = "10.1.0." + (2 + z);
        HollowDataNode d = new HollowDataNode(settings("d" + z, ip, z, false), net.means(1));
        datas.add(d);
        dataIds.add(NodeId.of(ip + ":7001"));
        every(dataIds.get(z), d::tick, HollowDataNode.tickMs());
    }

    @BeforeEach
    void start() throws Exception {
        for (int z = 0; z < ZONES; z++) {
            String ip = "10.0." + z + ".1";
            SimulatedControlNode c = new SimulatedControlNode(settings("c" + z, ip, z, true), net.means(1), net::at);
            controls.add(c);
            controlIds.add(NodeId.of(ip + ":7000"));
            every(controlIds.get(z), c::tick, SimulatedControlNode.tickMs());
            LocalConnector door = new LocalConnector(server);
            doors.add(door);
            server.addConnector(door);
        }
        server.setHandler(new Handler.Abstract() {
            @Override
            public boolean handle(Request request, Response response, Callback callback) throws Exception {
                int z = doors.indexOf(request.getConnectionMetaData().getConnector());
                boolean taken = controls.get(z).apiHandler().handle(request, response, callback);
                handled.add(request.getHttpURI().getPath());
                return taken;
            }
        });
        server.start();
        data(0);
        data(1);
        net.runFor(4000);
        assertEquals(
                200,
                ask(0, new Ask("PUT /ringspindle/configuration", "0", config(1)), 500)
                        .status());
        net.runFor(2000);
    }

    @AfterEach
    void stop() throws Exception {
        server.stop();
    }

    private static String config(int revision) {
        return "{\"revision\":" + revision + ",\"routes\":[],\"services\":[{\"name\":\"s\"}]}";
    }

    private static List<Ask> orders() {
        String engine = "{\"service\":\"s\",\"address\":\"10.2.0.1:80\",\"zone\":\"z0\",\"callSeq\":1}";
        return List.of(
                new Ask("PUT /ringspindle/configuration", "1", config(2)),
                new Ask("PUT /ringspindle/configuration", "99", config(100)),
                new Ask("PUT /ringspindle/configuration", "1", "{\"revision\":2,\"routes\":7}"),
                new Ask("PATCH /ringspindle/configuration", "1", "{\"revision\":2}"),
                new Ask("POST /ringspindle/evacuation/z1", null, ""),
                new Ask("POST /ringspindle/evacuation/nowhere", null, ""),
                new Ask("DELETE /ringspindle/evacuation/z1", null, ""),
                new Ask("PUT /ringspindle/instances/i-1", null, engine),
                new Ask("PUT /ringspindle/instances/i-1", null, engine.replace("}", ",\"state\":\"draining\"}")),
                new Ask("DELETE /ringspindle/instances/i-1", null, ""),
                new Ask("PUT /ringspindle/rules", "0", "{\"revision\":1,\"default\":{\"class\":{\"waitMs\":9}}}"),
                new Ask(
                        "PUT /ringspindle/rules",
                        "0",
                        "{\"revision\":1,\"regions\":{\"nowhere\":{\"class\":{\"waitMs\":9}}}}"),
                new Ask("POST /ringspindle/rollouts/s", null, "{\"order\":\"start\",\"target\":2,\"floor\":1.0}"),
                new Ask("POST /ringspindle/rollouts/none", null, "{\"order\":\"resume\"}"));
    }

    private static List<Ask> reads() {
        return List.of(
                new Ask("GET /ringspindle/configuration", null, ""),
                new Ask("GET /ringspindle/rules", null, ""),
                new Ask("GET /ringspindle/rollouts", null, ""),
                new Ask("GET /ringspindle/engines", null, ""),
                new Ask("GET /ringspindle/ledger", null, ""));
    }

    private LocalConnector.LocalEndPoint send(int z, Ask a) throws Exception {
        String head = a.line() + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: "
                + a.body().length() + "\r\n" + (a.ifMatch() == null ? "" : "If-Match: " + a.ifMatch() + "\r\n")
                + "\r\n";
        LocalConnector.LocalEndPoint e = doors.get(z).executeRequest(head + a.body());
        assertNotNull(handled.poll(60, TimeUnit.SECONDS), "never handled: " + a);
        return e;
    }

    private static Answer answer(LocalConnector.LocalEndPoint e) throws Exception {
        String text = e.getResponse(false, 60, TimeUnit.SECONDS);
        assertNotNull(text, "no answer");
        int end = text.indexOf("\r\n\r\n");
        return new Answer(Integer.parseInt(text.split(" ")[1]), text.substring(0, end), text.substring(end + 4));
    }

    private Answer ask(int z, Ask a, int withinMs) throws Exception {
        LocalConnector.LocalEndPoint e = send(z, a);
        net.runFor(withinMs);
        return answer(e);
    }

    /** Refused without a moment's delay, and only for the moment. */
    private void refusedAtOnce(int z, Ask a) throws Exception {
        Answer x = ask(z, a, 0);
        assertEquals(503, x.status(), a + " -> " + x);
        assertTrue(x.head().contains("Retry-After"), x.head());
    }

    private void allRefused(int z) throws Exception {
        for (Ask a : orders()) {
            refusedAtOnce(z, a);
        }
        for (Ask a : reads()) {
            refusedAtOnce(z, a);
        }
    }

    private Ask resolution() {
        return new Ask("GET /ringspindle/resolution?name=s&region=r0&zone=z0", null, "");
    }

    private void status(int z, boolean quorate) throws Exception {
        Answer x = ask(z, new Ask("GET /ringspindle/status", null, ""), 0);
        assertEquals(200, x.status());
        assertTrue(x.body().contains("\"quorate\":" + quorate), x.body());
        assertEquals(quorate, x.body().contains("\"revision\":"), x.body());
        assertEquals(quorate, x.body().contains("\"evacuated\":"), x.body());
        assertTrue(x.body().contains("\"awaited\":\"" + (quorate ? "NOTHING" : "MAJORITY") + "\""), x.body());
        assertEquals(
                quorate,
                x.body().contains("\"node\":\"10.0.1.1:7000\",\"epoch\":"),
                "who holds what, of those in touch: " + x.body());
    }

    private void takeOn(int z, int base) throws Exception {
        assertEquals(
                200,
                ask(z, new Ask("PUT /ringspindle/configuration", "" + base, config(base + 1)), 500)
                        .status());
    }

    /** Asked again and again, a node gives the newest configuration in the end and never an older one. */
    private void readsNothingOlderThan(int z, int revision) throws Exception {
        boolean read = false;
        for (int i = 0; i < 200 && !read; i++) {
            Answer x = ask(z, new Ask("GET /ringspindle/configuration", null, ""), 1600);
            read = x.status() == 200;
            assertTrue(read ? x.body().contains("\"revision\":" + revision) : x.status() == 503, x.toString());
        }
        assertTrue(read, "never answered");
    }

    @Test
    void withAMajorityAllAnswer() throws Exception {
        Map<String, Integer> answers = new LinkedHashMap<>();
        for (Ask a : orders()) {
            answers.merge(a.line(), ask(0, a, 600).status(), (x, y) -> x * 1000 + y);
        }
        assertEquals(
                Map.of(
                        "PUT /ringspindle/configuration",
                        200_412_400,
                        "PATCH /ringspindle/configuration",
                        412,
                        "POST /ringspindle/evacuation/z1",
                        200,
                        "POST /ringspindle/evacuation/nowhere",
                        404,
                        "DELETE /ringspindle/evacuation/z1",
                        200,
                        "PUT /ringspindle/instances/i-1",
                        200_200,
                        "DELETE /ringspindle/instances/i-1",
                        200,
                        "PUT /ringspindle/rules",
                        200_400,
                        "POST /ringspindle/rollouts/s",
                        400,
                        "POST /ringspindle/rollouts/none",
                        404),
                answers);
        for (Ask a : reads()) {
            assertEquals(200, ask(0, a, 600).status(), a.toString());
        }
        assertEquals(
                "{\"addresses\":[\"10.1.0.2:80\"],\"ttlS\":2.0}",
                ask(0, resolution(), 0).body());
        status(0, true);
    }

    @Test
    void cutOffItRefusesAtOnceAndHandsOutNothingOld() throws Exception {
        net.cut(Set.of(controlIds.get(0)), CUT_MS);
        net.runFor(NOTICED_MS);
        allRefused(0);
        status(0, false);
        net.runFor(400);
        refusedAtOnce(0, resolution());
        takeOn(1, 1);
        net.runFor(CUT_MS - NOTICED_MS - 1000);
        allRefused(0);
        readsNothingOlderThan(0, 2);
    }

    @Test
    void aMachineCutOffWithItsFrontendNamesThatOne() throws Exception {
        net.cut(Set.of(controlIds.get(0), dataIds.get(0)), CUT_MS);
        net.runFor(NOTICED_MS + 1500);
        assertEquals(
                "{\"addresses\":[\"10.1.0.2:80\"],\"ttlS\":2.0}",
                ask(0, resolution(), 0).body());
        Answer far = ask(0, new Ask("GET /ringspindle/resolution?name=s&region=r1&zone=z1", null, ""), 0);
        assertFalse(far.body().contains("10.1.0.3"), "known by hearsay only: " + far.body());
        allRefused(0);
    }

    @Test
    void inTheFirstMomentsAfterAFreezeEverythingIsRefused() throws Exception {
        net.freeze(controlIds.get(0), CUT_MS);
        net.runFor(3000);
        takeOn(1, 1);
        net.runFor(CUT_MS - 3500 - 1);
        // before its first tick, and before what waits in its sockets is heard
        allRefused(0);
        refusedAtOnce(0, resolution());
        status(0, false);
        // all that waited is heard, and a tick has passed
        net.runFor(2);
        controls.get(0).tick();
        allRefused(0);
        status(0, false);
        readsNothingOlderThan(0, 2);
    }

    /** The shorter freeze ends before others drop the connection: the answers wait in the socket. */
    @ParameterizedTest
    @ValueSource(ints = {1750, 20_000})
    void answersThatWaitedOutAFreezeAreNotTold(int frozenMs) throws Exception {
        List<LocalConnector.LocalEndPoint> waiting = new ArrayList<>();
        for (Ask a : List.of(
                new Ask("GET /ringspindle/configuration", null, ""),
                new Ask("POST /ringspindle/evacuation/z1", null, ""),
                new Ask("POST /ringspindle/rollouts/none", null, "{\"order\":\"resume\"}"),
                new Ask("PUT /ringspindle/rules", "99", "{\"revision\":100,\"default\":{\"class\":{\"waitMs\":9}}}"))) {
            waiting.add(send(2, a));
        }
        assertFalse(controls.get(2).isHead(), "the head decides some of these by itself");
        net.freeze(controlIds.get(2), frozenMs);
        net.runFor(frozenMs + 3000);
        for (LocalConnector.LocalEndPoint e : waiting) {
            assertEquals(503, answer(e).status());
        }
    }

    @Test
    void aStartingDataNodeIsNotFilledByAStaleNode() throws Exception {
        HollowDataNode late = new HollowDataNode(settings("d9", "10.1.0.9", 0, false), net.means(1));
        NodeId lateId = NodeId.of("10.1.0.9:7001");
        net.cut(Set.of(controlIds.get(0), lateId), CUT_MS);
        net.runFor(NOTICED_MS);
        takeOn(1, 1);
        every(lateId, late::tick, HollowDataNode.tickMs());
        net.runFor(CUT_MS - 3000);
        assertEquals(-1, late.revision(), "no majority stands behind what it was told");
        List<Long> seen = new ArrayList<>();
        for (int i = 0; i < 1000; i++) {
            net.runFor(10);
            seen.add(late.revision());
        }
        assertEquals(2, late.revision());
        assertFalse(seen.contains(1L), "an old configuration came into force");
    }
}
