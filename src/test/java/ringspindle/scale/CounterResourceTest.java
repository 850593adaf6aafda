package ringspindle.scale;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Properties;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.server.LocalConnector;
import org.eclipse.jetty.server.Server;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ringspindle.config.NodeConfig;
import ringspindle.config.Validated;
import ringspindle.controlplane.SimulatedControlNode;

/** What the calls on counters answer, proper ones and others; one node that may lose no disk. */
@Timeout(60)
class CounterResourceTest {
    private static final String COUNTERS = "/ringspindle/tallies";

    private final SimulatedNetwork network = new SimulatedNetwork();
    private final Server server = new Server();
    private final LocalConnector connector = new LocalConnector(server);

    @BeforeEach
    void start() throws Exception {
        Properties settings = new Properties();
        settings.putAll(Map.of(
                "node.name", "c0",
                "node.ip", "10.0.0.1",
                "node.zone", "z0",
                "node.region", "r0",
                "zone.z0", "r0",
                "listen.inner", "7000",
                "listen.control", "10.0.0.1:80",
                "seeds", "10.0.0.1:80",
                "loss.nodes", "0",
                "node.bootstrap", "true"));
        NodeConfig config = ((Validated.Valid<NodeConfig>) NodeConfig.check(settings)).value();
        SimulatedControlNode node = new SimulatedControlNode(config, network.means(1), network::at);
        server.addConnector(connector);
        server.setHandler(node.apiHandler());
        server.start();
        network.runFor(1000);
    }

    @AfterEach
    void stop() throws Exception {
        server.stop();
    }

    /** The status and body of the answer to a call, after so much simulated time that it is answered. */
    private String call(String line, String body) throws Exception {
        LocalConnector.LocalEndPoint endPoint = connector.executeRequest(line + " HTTP/1.1\r\nHost: h\r\n"
                + "Connection: close\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        String answer = null;
        for (int i = 0; answer == null && i < 100; i++) {
            network.runFor(20);
            answer = endPoint.getResponse(false, 50, TimeUnit.MILLISECONDS);
        }
        String status = answer.split(" ")[1];
        return (status + " " + answer.substring(answer.indexOf("\r\n\r\n") + 4)).trim();
    }

    private String add(String name, String body) throws Exception {
        return call("POST " + COUNTERS + "/" + name, body);
    }

    private String total(String name) throws Exception {
        return call("GET " + COUNTERS + "/" + name, "");
    }

    @Test
    void anIdCountsOnceAndANewNameIsZero() throws Exception {
        assertEquals("200 {\"total\":0}", total("t3"));
        assertEquals("200", add("t3", "{\"instanceId\":\"5c0e\",\"actor\":4}"));
        assertEquals("200", add("t3", "{\"actor\":4,\"instanceId\":\"5c0e\",\"more\":{}}"));
        assertEquals("200 {\"total\":4}", total("t3"));
        assertTrue(add("t3", "{\"instanceId\":\"5c0e\",\"actor\":5}").startsWith("409 "));
        assertEquals("200", add("t4", "{\"instanceId\":\"5c0e\",\"actor\":5}"));
        assertEquals("200 {\"total\":4}", total("t3"));
        assertEquals("200 {\"total\":5}", total("t4"));
    }

    @Test
    void anyWholeNumberOf64BitsCountsAndTotalsAreExactBeyond() throws Exception {
        assertEquals("200", add("t", "{\"instanceId\":\"a\",\"actor\":9223372036854775807}"));
        assertEquals("200", add("t", "{\"instanceId\":\"b\",\"actor\":9223372036854775807}"));
        assertEquals("200 {\"total\":18446744073709551614}", total("t"));
        assertEquals("200", add("t", "{\"instanceId\":\"c\",\"actor\":0}"));
        assertEquals("200", add("t", "{\"instanceId\":\"d\",\"actor\":-9223372036854775808}"));
        assertEquals("200", add("t", "{\"instanceId\":\"e\",\"actor\":1.0e1}"));
        assertEquals("200 {\"total\":9223372036854775816}", total("t"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{",
                "[]",
                "{}",
                "{\"instanceId\":\"a\"}",
                "{\"actor\":1}",
                "{\"instanceId\":7,\"actor\":1}",
                "{\"instanceId\":\"\",\"actor\":1}",
                "{\"instanceId\":\"a\\u0000\",\"actor\":1}",
                "{\"instanceId\":\"a\",\"actor\":\"1\"}",
                "{\"instanceId\":\"a\",\"actor\":1.5}",
                "{\"instanceId\":\"a\",\"actor\":9223372036854775808}",
                "{\"instanceId\":\"a\",\"actor\":1e999999999}",
                "{\"instanceId\":\"a\",\"actor\":null}",
                "{\"instanceId\":\"a\",\"instanceId\":\"b\",\"actor\":1}"
            })
    void whatCannotBeReadIsRefusedAndChangesNothing(String body) throws Exception {
        assertTrue(add("t", body).startsWith("400 "), body);
        assertEquals("200 {\"total\":0}", total("t"));
    }

    @Test
    void sizesAreBounded() throws Exception {
        assertTrue(add("t", "{\"instanceId\":\"" + "x".repeat(257) + "\",\"actor\":1}")
                .startsWith("400 "));
        assertTrue(add("t", "{\"instanceId\":\"" + "x".repeat(5000) + "\",\"actor\":1}")
                .startsWith("413 "));
        assertTrue(add("t".repeat(257), "{\"instanceId\":\"a\",\"actor\":1}").startsWith("400 "));
        assertEquals("200", add("t".repeat(256), "{\"instanceId\":\"" + "x".repeat(256) + "\",\"actor\":1}"));
        assertEquals("200 {\"total\":0}", total("t"));
    }

    @Test
    void namesMayHoldEscapes() throws Exception {
        assertEquals("200", add("a%20b+c%C3%B8", "{\"instanceId\":\"a\",\"actor\":3}"));
        assertEquals("200 {\"total\":3}", total("a%20b%2Bc%C3%B8"));
        assertTrue(total("a%0Ab").startsWith("400 "));
        String page = call("GET " + COUNTERS, "");
        String name = new String("a b+cø".getBytes(UTF_8), ISO_8859_1);
        assertTrue(page.contains("\"totals\":{\"" + name + "\":3}") && page.contains("\"joined\":true"), page);
    }
}
