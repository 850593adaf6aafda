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

/** Serving rules at the real edge on loopback: rank, waiting, the revision that a request is admitted under, and the ledger. */
@Timeout(60)
class ServingRulesProxyTest extends ProxyFixture {
    private static ServingRules rules(String json) {
        return ((Validated.Valid<ServingRules>) ServingRules.read(json.getBytes(UTF_8))).value();
    }

    private LedgerRow row(String cls) {
        return front.ledgerReport(1, 1).rows().stream()
                .filter(r -> r.cls().equals(cls))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void rankOfTheClassGoesToTheEngineAndOlderRulesAreIgnored() throws Exception {
        ScriptedEngine engine = engine("i-1", "z", (seen, out, socket) -> {
            ScriptedEngine.writeText(
                    out, ScriptedEngine.streamHead(seen) + ScriptedEngine.chunk("id: 0\ndata: x\n\n") + "0\r\n\r\n");
        });
        front.updateRules(
                rules(
                        "{\"revision\":5,\"rules\":[{\"name\":\"q\",\"match\":{\"route\":\"short\"},\"class\":{\"rank\":3}}]}"));
        front.updateRules(rules("{\"revision\":4,\"default\":{\"class\":{\"rank\":9}}}"));
        ok("/short/x", "t1");
        assertEquals("3", engine.requests.take().headers().get("Request-Urgency"));
        assertEquals(5, row("q").revision());
        assertEquals(5, front.ledgerReport(1, 1).revision());
    }

    /** One action, one revision: what waits when the rules change goes on under those it was admitted with. */
    @Test
    void actionKeepsTheRulesItWasAdmittedUnder() throws Exception {
        CountDownLatch hold = new CountDownLatch(1);
        ScriptedEngine engine = engine("i-1", "z", (seen, out, socket) -> {
            hold.await();
            ScriptedEngine.respondWith(200, "hello", "").run(seen, out, socket);
        });
        front.updateRules(rules("{\"revision\":1,\"default\":{\"class\":{\"rank\":1}}}"));
        Socket first = send("/card/x", "t1", "Connection: close\r\n", "");
        engine.requests.take();
        front.updateRules(rules("{\"revision\":2,\"rules\":[{\"name\":\"cards\",\"match\":{\"route\":\"card\"}}]}"));
        Socket second = send("/card/x", "t2", "Connection: close\r\n", "");
        engine.requests.take();
        hold.countDown();
        assertTrue(all(first).startsWith("HTTP/1.1 200"));
        assertTrue(all(second).startsWith("HTTP/1.1 200"));
        LedgerRow one = row(ServingRules.DEFAULT_CLASS);
        LedgerRow two = row("cards");
        assertEquals(List.of(1L, 1L, 1L), List.of(one.revision(), one.admitted(), one.sent()));
        assertEquals(List.of(2L, 1L, 1L), List.of(two.revision(), two.admitted(), two.sent()));
    }

    /** Long ones may use a quarter of the places and wait; the short one that comes behind them waits for none of them. */
    @Test
    void shortQuestionsNeverWaitBehindDigests() throws Exception {
        CountDownLatch hold = new CountDownLatch(1);
        List<String> order = Collections.synchronizedList(new ArrayList<>());
        ScriptedEngine engine = engine("i-1", "z", (seen, out, socket) -> {
            order.add(seen.headers().get("Attempt-Id"));
            if (seen.headers().get("Attempt-Id").startsWith("d")) {
                hold.await();
            }
            ScriptedEngine.writeText(
                    out, ScriptedEngine.streamHead(seen) + ScriptedEngine.chunk("id: 0\ndata: x\n\n") + "0\r\n\r\n");
        });
        front.updateRules(
                rules(
                        "{\"revision\":1,\"rules\":[{\"name\":\"digests\",\"match\":{\"prompt\":{\"from\":5000}},"
                                + "\"class\":{\"rank\":2,\"waitMs\":2000}}],\"default\":{\"class\":{\"rank\":0,\"share\":0.75,\"waitMs\":100}}}"));
        String digest = "Connection: close\r\nToken-Count: 17000,100\r\nPrompt-Prefix: aa:13000,bb:4000\r\n";
        List<Socket> digests = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            digests.add(send("/short/x", "d" + i, digest, ""));
        }
        // two of the eight places are theirs, the other four wait
        engine.requests.take();
        engine.requests.take();
        String got = all(send("/short/x", "q1", "Connection: close\r\nToken-Count: 383,50\r\n", ""));
        assertTrue(got.startsWith("HTTP/1.1 200"), got);
        assertEquals("q1", order.get(2), "a digest went before the question: " + order);
        assertEquals(1, row(ServingRules.DEFAULT_CLASS).completed());
        hold.countDown();
        for (Socket client : digests) {
            all(client);
        }
        assertEquals(6, row("digests").admitted());
        assertEquals(Set.of(), RequestLedger.violations(front.ledgerReport(1, 1)));
    }

    /** The ledger against what the stand-in engines and clients counted themselves. */
    @Test
    void ledgerAgreesWithEnginesAndClients() throws Exception {
        int[] answered = new int[1];
        ScriptedEngine bad = engine("i-1", "z", (seen, out, socket) -> {
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
        ScriptedEngine good = engine("i-2", "z", ScriptedEngine.respondWith(200, "hello", ""));
        int whole = 0;
        int refused = 0;
        for (int i = 0; i < 60; i++) {
            String got = ok(i % 2 == 0 ? "/card/x" : "/once/x", "t" + i);
            whole += got.startsWith("HTTP/1.1 200") || got.startsWith("HTTP/1.1 500") ? 1 : 0;
            refused += got.startsWith("HTTP/1.1 50") && !got.startsWith("HTTP/1.1 500") ? 1 : 0;
        }
        LedgerRow total = row(ServingRules.DEFAULT_CLASS);
        long arrived = bad.requests.stream()
                        .filter(x -> x.requestLine().startsWith("POST"))
                        .count()
                + good.requests.size();
        assertEquals(60, total.admitted());
        assertEquals(whole, total.completed());
        assertEquals(refused, total.givenUp());
        assertEquals(arrived, total.sent());
        assertEquals(0, total.inProgress());
        assertEquals(Set.of(), RequestLedger.violations(front.ledgerReport(1, 1)));
        Map<String, Integer> runs = new HashMap<>();
        good.requests.forEach(x -> runs.merge(x.headers().get("Attempt-Id"), 1, Integer::sum));
        assertTrue(runs.values().stream().allMatch(k -> k == 1), "doubled: " + runs);
    }
}
