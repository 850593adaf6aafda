package ringspindle.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import jakarta.json.Json;
import jakarta.json.JsonObject;
import jakarta.json.JsonReader;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** The OpenAPI file and the code name the same calls. */
class OpenApiTest {
    @Test
    void fileAndCodeAreEqual() {
        Map<String, String> inFile = new TreeMap<>();
        Map<String, Set<Integer>> answers = new TreeMap<>();
        try (JsonReader r = Json.createReader(OpenApiTest.class.getResourceAsStream("/openapi.json"))) {
            JsonObject paths = r.readObject().getJsonObject("paths");
            paths.forEach((path, methods) -> methods.asJsonObject().forEach((method, call) -> {
                String id = call.asJsonObject().getString("operationId");
                inFile.put(id, method.toUpperCase(Locale.ROOT) + " " + path);
                call.asJsonObject().getJsonObject("responses").keySet().forEach(s -> answers.computeIfAbsent(
                                id, k -> new TreeSet<>())
                        .add(Integer.valueOf(s)));
            }));
        }
        Map<String, String> inCode = new TreeMap<>();
        for (Operation o : Operation.values()) {
            inCode.put(o.name(), o.method() + " " + o.template());
            assertEquals(o, Operation.of(o.method(), o.path("x-1")));
        }
        assertEquals(inFile, inCode);
        Set<Integer> statuses = new TreeSet<>();
        for (Outcome o : Outcome.values()) {
            statuses.add(o.status());
        }
        answers.forEach((id, s) -> assertTrue(statuses.containsAll(s), id + " answers what no outcome has"));
    }

    @Test
    void otherPathsAreNoCalls() {
        for (String path : List.of(
                "/",
                "/ringspindle/",
                "/ringspindle/status/x",
                "/ringspindle/instances",
                "/ringspindle/instances/",
                "/ringspindle/instances/a/b",
                "/other/status")) {
            assertNull(Operation.of("GET", path), path);
        }
    }

    @Test
    void onlyAnswersThatPromiseNothingRanAskToComeBack() {
        for (Outcome o : Outcome.values()) {
            // 429 promises what 503 does: nothing of it ran or will
            assertEquals(o.status() == 503 || o.status() == 429, o.notRun(), o.name());
        }
    }
}
