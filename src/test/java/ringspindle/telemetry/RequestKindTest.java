package ringspindle.telemetry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Codes of kinds are part of reports between nodes, and boundaries of kinds and buckets of what reports mean. */
class RequestKindTest {
    @Test
    void codesArePinnedAndDense() {
        assertEquals(0, RequestKind.PLAIN.code());
        assertEquals(1, RequestKind.SHORT.code());
        assertEquals(2, RequestKind.LONG.code());
        assertEquals(RequestKind.values().length, RequestKind.COUNT);
    }

    @Test
    void kindsAreToldApartByTheirTokens() {
        assertEquals(RequestKind.PLAIN, RequestKind.of(0, 0));
        assertEquals(RequestKind.SHORT, RequestKind.of(383, 92));
        assertEquals(RequestKind.SHORT, RequestKind.of(5000, 999));
        assertEquals(RequestKind.LONG, RequestKind.of(5000, 1000));
    }

    @Test
    void bucketsEndAtTheirBounds() {
        long[] latenciesMs = {0, 50, 51, 150, 151, 400, 401, 1000, 1001, 2500, 2501, Integer.MAX_VALUE};
        int[] buckets = {0, 0, 1, 1, 2, 2, 3, 3, 4, 4, 5, 5};
        for (int i = 0; i < latenciesMs.length; i++) {
            assertEquals(buckets[i], LatencyHistogram.bucketOf(latenciesMs[i]), latenciesMs[i] + " ms");
        }
        assertEquals(LatencyHistogram.BUCKETS - 1, LatencyHistogram.bucketOf(Integer.MAX_VALUE));
    }
}
