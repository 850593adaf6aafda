package ringspindle.proxy;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import ringspindle.config.Validated;
import ringspindle.protocol.Message.LedgerRow;
import ringspindle.routing.RequestLedger;
import ringspindle.routing.ServingRules;

/** Tests serving rules in a proxy on loopback: rank, waiting, the rules revision at admission, and the request ledger. */
@Timeout(60)
class ServingRulesProxyTest extends ProxyFixture {
    private static ServingRules rules(String json) {
        return ((Validated.Valid<ServingRules>) ServingRules.read(json.getBytes(UTF_8))).value();
    }

    private LedgerRow row(String servingClass) {
        return proxy.ledgerReport(1, 1).rows().stream()
                .filter(row -> row.cls().equals(servingClass))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void classRankIsSentToTheEngineAndOlderRulesAreIgnored() throws Exception {
        ScriptedEngine engine = engine("i-1", "z", (seen, out, socket) -> {
            ScriptedEngine.writeText(
                    out, ScriptedEngine.streamHead(seen) + ScriptedEngine.chunk("id: 0\ndata: x\n\n") + "0\r\n\r\n");
        });
        proxy.updateRules(
                rules(
                        "{\"revision\":5,\"rules\":[{\"name\":\"q\",\"match\":{\"route\":\"short\"},\"class\":{\"rank\":3}}]}"));
        proxy.updateRules(rules("{\"revision\":4,\"default\":{\"class\":{\"rank\":9}}}"));
        sendAndReadAll("/short/x", "t1");
        assertEquals("3", engine.requests.take().headers().get("Request-Urgency"));
        assertEquals(5, row("q").revision());
        assertEquals(5, proxy.ledgerReport(1, 1).revision());
    }

    /** An action has one rules revision: a request in progress when the rules change keeps those it was admitted under. */
    @Test
    void actionKeepsTheRulesItWasAdmittedUnder() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        ScriptedEngine engine = engine("i-1", "z", (seen, out, socket) -> {
            release.await();
            ScriptedEngine.respondWith(200, "hello", "").run(seen, out, socket);
        });
        proxy.updateRules(rules("{\"revision\":1,\"default\":{\"class\":{\"rank\":1}}}"));
        Socket first = send("/card/x", "t1", "Connection: close\r\n", "");
        engine.requests.take();
        proxy.updateRules(rules("{\"revision\":2,\"rules\":[{\"name\":\"cards\",\"match\":{\"route\":\"card\"}}]}"));
        Socket second = send("/card/x", "t2", "Connection: close\r\n", "");
        engine.requests.take();
        release.countDown();
        assertTrue(readAll(first).startsWith("HTTP/1.1 200"));
        assertTrue(readAll(second).startsWith("HTTP/1.1 200"));
        LedgerRow firstRow = row(ServingRules.DEFAULT_CLASS);
        LedgerRow secondRow = row("cards");
        assertEquals(List.of(1L, 1L, 1L), List.of(firstRow.revision(), firstRow.admitted(), firstRow.sent()));
        assertEquals(List.of(2L, 1L, 1L), List.of(secondRow.revision(), secondRow.admitted(), secondRow.sent()));
    }

    /** Long requests may use a quarter of the slots and wait for them; a short request behind them does not wait for them. */
    @Test
    void shortRequestsDoNotWaitBehindLongOnes() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        List<String> order = Collections.synchronizedList(new ArrayList<>());
        ScriptedEngine engine = engine("i-1", "z", (seen, out, socket) -> {
            order.add(seen.headers().get("Attempt-Id"));
            if (seen.headers().get("Attempt-Id").startsWith("d")) {
                release.await();
            }
            ScriptedEngine.writeText(
                    out, ScriptedEngine.streamHead(seen) + ScriptedEngine.chunk("id: 0\ndata: x\n\n") + "0\r\n\r\n");
        });
        proxy.updateRules(
                rules(
                        "{\"revision\":1,\"rules\":[{\"name\":\"digests\",\"match\":{\"prompt\":{\"from\":5000}},"
                                + "\"class\":{\"rank\":2,\"waitMs\":2000}}],\"default\":{\"class\":{\"rank\":0,\"share\":0.75,\"waitMs\":100}}}"));
        String longRequestHeaders =
                "Connection: close\r\nToken-Count: 17000,100\r\nPrompt-Prefix: aa:13000,bb:4000\r\n";
        List<Socket> longRequests = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            longRequests.add(send("/short/x", "d" + i, longRequestHeaders, ""));
        }
        // two of the eight slots are open to long requests, so the other four wait
        engine.requests.take();
        engine.requests.take();
        String response = readAll(send("/short/x", "q1", "Connection: close\r\nToken-Count: 383,50\r\n", ""));
        assertTrue(response.startsWith("HTTP/1.1 200"), response);
        assertEquals("q1", order.get(2), "a long request was served before the short one: " + order);
        assertEquals(1, row(ServingRules.DEFAULT_CLASS).completed());
        release.countDown();
        for (Socket client : longRequests) {
            readAll(client);
        }
        assertEquals(6, row("digests").admitted());
        assertEquals(Set.of(), RequestLedger.violations(proxy.ledgerReport(1, 1)));
    }

    /** Compares the ledger with the counts of the scripted engines and of the clients. */
    @Test
    void ledgerAgreesWithEnginesAndClients() throws Exception {
        int[] answered = new int[1];
        ScriptedEngine failingEngine = engine("i-1", "z", (seen, out, socket) -> {
            if (seen.requestLine().startsWith("GET")) {
                ScriptedEngine.writeText(out, "HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            switch (answered[0]++ % 3) {
                case 0 ->
                    ScriptedEngine.writeText(
                            out,
                            "HTTP/1.1 503 X\r\nAttempt-Id: " + seen.headers().get("Attempt-Id")
                                    + "\r\nNot-Executed: full\r\nContent-Length: 0\r\n\r\n");
                case 1 -> ScriptedEngine.respondWith(500, "ill", "").run(seen, out, socket);
                default -> socket.close();
            }
        });
        ScriptedEngine healthyEngine = engine("i-2", "z", ScriptedEngine.respondWith(200, "hello", ""));
        int completed = 0;
        int rejected = 0;
        for (int i = 0; i < 60; i++) {
            String response = sendAndReadAll(i % 2 == 0 ? "/card/x" : "/once/x", "t" + i);
            completed += response.startsWith("HTTP/1.1 200") || response.startsWith("HTTP/1.1 500") ? 1 : 0;
            rejected += response.startsWith("HTTP/1.1 50") && !response.startsWith("HTTP/1.1 500") ? 1 : 0;
        }
        LedgerRow total = row(ServingRules.DEFAULT_CLASS);
        long received = failingEngine.requests.stream()
                        .filter(request -> request.requestLine().startsWith("POST"))
                        .count()
                + healthyEngine.requests.size();
        assertEquals(60, total.admitted());
        assertEquals(completed, total.completed());
        assertEquals(rejected, total.givenUp());
        assertEquals(received, total.sent());
        assertEquals(0, total.inProgress());
        assertEquals(Set.of(), RequestLedger.violations(proxy.ledgerReport(1, 1)));
        Map<String, Integer> runs = new HashMap<>();
        healthyEngine.requests.forEach(request -> runs.merge(request.headers().get("Attempt-Id"), 1, Integer::sum));
        assertTrue(runs.values().stream().allMatch(count -> count == 1), "executed more than once: " + runs);
    }
}
