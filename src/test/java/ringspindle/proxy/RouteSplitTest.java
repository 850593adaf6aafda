package ringspindle.proxy;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;

/** Each service of a route receives its weight's share of the requests, for random and for sequential attempt ids. */
class RouteSplitTest {
    private static final int REQUESTS = 20_000;
    /** The chi-square distribution with two degrees of freedom exceeds this with a probability of 0.001. */
    private static final double CHI_SQUARE_LIMIT = 13.82;

    private static FleetConfig.Route route(int first, int second, int third) {
        String target = "{\"service\":\"%s\",\"weight\":%d}";
        String service = "{\"name\":\"%s\",\"healthPath\":\"/h\",\"maxConnections\":9,\"warmupS\":0,\"warmupPerS\":0}";
        String json =
                "{\"revision\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/\",\"routeKind\":\"idempotent\","
                        + "\"deadlineMs\":1000,\"targetLatencyMs\":100,\"priority\":0,\"maxAttempts\":1,\"weightedTargets\":["
                        + target.formatted("a", first) + "," + target.formatted("b", second) + ","
                        + target.formatted("c", third)
                        + "]}],\"services\":[" + service.formatted("a") + "," + service.formatted("b") + ","
                        + service.formatted("c") + "]}";
        FleetConfig config = ((Validated.Valid<FleetConfig>) FleetConfig.read(json.getBytes(UTF_8))).value();
        return config.routes().iterator().next();
    }

    @ParameterizedTest
    @CsvSource({"90, 10, 0, false", "90, 10, 0, true", "1, 1, 1, false", "70, 20, 10, true", "1, 0, 99, false"})
    void servicesReceiveRequestsInProportionToTheirWeights(int first, int second, int third, boolean risingIds) {
        FleetConfig.Route route = route(first, second, third);
        Random random = new Random(22);
        int[] weights = {first, second, third};
        int[] counts = new int[weights.length];
        for (int i = 0; i < REQUESTS; i++) {
            String id = risingIds ? Integer.toString(i) : Long.toHexString(random.nextLong());
            counts["abc".indexOf(RouteSplit.selectService(route, id))]++;
        }
        double total = first + second + third;
        double chiSquare = 0;
        for (int service = 0; service < weights.length; service++) {
            double expected = REQUESTS * weights[service] / total;
            if (weights[service] == 0) {
                assertEquals(0, counts[service]);
            } else {
                chiSquare += (counts[service] - expected) * (counts[service] - expected) / expected;
            }
        }
        assertTrue(
                chiSquare < CHI_SQUARE_LIMIT,
                "chi-square " + chiSquare + " of " + List.of(counts[0], counts[1], counts[2]));
    }

    @Test
    void sameAttemptIdAlwaysSelectsTheSameService() {
        FleetConfig.Route route = route(50, 30, 20);
        for (int i = 0; i < 100; i++) {
            String id = Integer.toString(i);
            assertEquals(
                    RouteSplit.selectService(route, id), RouteSplit.selectService(route, new String(id.toCharArray())));
        }
    }
}
