package ringspindle.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.IntFunction;
import org.junit.jupiter.api.Test;
import ringspindle.replication.CallKind;
import ringspindle.replication.MarkKind;

/** The codes of kinds in messages and on disk never change; unknown codes have a constant of their own. */
class KindCodesTest {
    private static <E extends Enum<E>> void assertCodes(
            List<String> expected, E[] constants, Function<E, Integer> codeOf, IntFunction<E> of) {
        Map<String, Integer> byName = new LinkedHashMap<>();
        for (int i = 0; i < expected.size(); i++) {
            byName.put(expected.get(i), i);
        }
        assertEquals(expected.size(), constants.length);
        for (E constant : constants) {
            assertEquals(byName.get(constant.name()), codeOf.apply(constant), constant.name());
            assertEquals(constant, of.apply(codeOf.apply(constant)));
        }
        for (int code : new int[] {-1, expected.size(), 255, Integer.MAX_VALUE, Integer.MIN_VALUE}) {
            assertEquals("UNKNOWN", of.apply(code).name(), "code " + code);
        }
    }

    @Test
    void nodeKinds() {
        assertEquals(0, NodeKind.CONTROL.code());
        assertEquals(1, NodeKind.DATA.code());
        assertEquals(2, NodeKind.STORAGE.code());
        List<NodeKind> known = List.of(NodeKind.CONTROL, NodeKind.DATA, NodeKind.STORAGE);
        for (int code = 0; code < 256; code++) {
            NodeKind expected = code < known.size() ? known.get(code) : NodeKind.UNKNOWN;
            assertEquals(expected, NodeKind.of(code));
        }
    }

    @Test
    void nodeFlags() {
        assertEquals(0, NodeFlags.NONE.bits());
        assertEquals(1, NodeFlags.READY.bits());
        assertEquals(2, NodeFlags.LEAVING.bits());
        assertEquals(16, NodeFlags.STILL_SERVING.bits());
        assertEquals(4, NodeFlags.QUORATE.bits());
        assertEquals(8, NodeFlags.RELEARNING.bits());
        assertSame(NodeFlags.of(5), NodeFlags.READY.and(NodeFlags.QUORATE));
        assertSame(NodeFlags.NONE, NodeFlags.READY.when(false));
        assertTrue(NodeFlags.of(255).has(NodeFlags.of(9)));
        assertFalse(NodeFlags.of(7).has(NodeFlags.RELEARNING));
        for (int bits = 0; bits < 256; bits++) {
            assertEquals(bits, NodeFlags.of(bits).bits());
        }
    }

    @Test
    void callKinds() {
        assertCodes(
                List.of(
                        "UNKNOWN",
                        "PUT",
                        "PATCH",
                        "EVACUATE",
                        "RESTORE",
                        "DRAIN",
                        "GONE",
                        "READ",
                        "ROLLOUT",
                        "RULES",
                        "EXPERIMENT",
                        "SHARD",
                        "RETIRE",
                        "METER",
                        "VERSION"),
                CallKind.values(),
                CallKind::code,
                CallKind::of);
    }

    @Test
    void markKinds() {
        assertCodes(
                List.of(
                        "UNKNOWN",
                        "EVACUATED",
                        "LEAVING",
                        "ROLLOUT",
                        "RULES",
                        "EXPERIMENT",
                        "SHARD",
                        "RETIREMENT",
                        "METERING",
                        "VERSION"),
                MarkKind.values(),
                MarkKind::code,
                code -> MarkKind.of(new Message.Mark(code, "", 0, "")));
    }

    @Test
    void factKinds() {
        assertCodes(
                List.of(
                        "UNKNOWN",
                        "CONFIG",
                        "EVACUATED",
                        "LEAVING",
                        "ENGINE",
                        "NODE",
                        "LEASE",
                        "ROLLOUT",
                        "TURN",
                        "SILENT",
                        "RULES",
                        "EXPERIMENT",
                        "SHARD",
                        "STORAGE",
                        "RETIREMENT",
                        "COMMITTED",
                        "VERSION"),
                FactKind.values(),
                FactKind::code,
                FactKind::of);
    }

    @Test
    void kindsOfBatchJobs() {
        assertCodes(
                List.of("UNKNOWN", "SUBMIT", "RESULTS", "ITEM", "END"),
                JobCallKind.values(),
                JobCallKind::code,
                JobCallKind::of);
        assertCodes(
                List.of("UNKNOWN", "DONE", "NO_SUCH", "INVALID", "OVER_QUOTA", "FULL", "NOT_LEADER", "UNCLEAR"),
                JobStatus.values(),
                JobStatus::code,
                JobStatus::of);
        assertCodes(
                List.of("UNKNOWN", "COMPLETED", "FAILED", "IMPOSSIBLE", "NO_ROUTE", "NO_CAPACITY", "BROKEN"),
                ItemOutcome.values(),
                ItemOutcome::code,
                ItemOutcome::of);
        assertCodes(List.of("UNKNOWN", "ENDED", "FORGOTTEN"), JobMarkKind.values(), JobMarkKind::code, JobMarkKind::of);
        assertCodes(
                List.of("UNKNOWN", "SYNCED", "LAGGING", "LEADING"),
                ReplicaStanding.values(),
                ReplicaStanding::code,
                ReplicaStanding::of);
    }
}
