package ringspindle.membership;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import ringspindle.protocol.Codec;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.FrameException;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.Message.Lease;
import ringspindle.protocol.Message.Synced;
import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;

/** Facts whose values cannot be read are refused before any of those that came with them is taken. */
class FactValidatorTest {
    private static final NodeId A = NodeId.of("10.0.0.1:7000");
    private static final byte[] RUBBISH = {1, 2, 3};

    private static Fact item(FactKind kind, byte[] value) {
        return new Fact(kind, "k", 1, 1, value);
    }

    private static Map<FactKind, byte[]> good() {
        return Map.of(
                FactKind.ENGINE,
                Codec.encode(new Engine(1, 0, false, -1, 1, "s", "10.0.0.1:80", "z", "v")),
                FactKind.LEASE,
                Codec.encode(new Lease(1, 2, 3000)),
                FactKind.NODE,
                new DataNodeFact(NodeFlags.READY, A, new Hello(A, 1, 1, A.bits(), "n", "z", "r")).value(),
                FactKind.SILENT,
                new byte[] {1});
    }

    @Test
    void whatCanBeReadPasses() {
        good().forEach((kind, value) -> assertDoesNotThrow(() -> FactValidator.check(List.of(item(kind, value)))));
        assertDoesNotThrow(
                () -> FactValidator.check(List.of(item(FactKind.CONFIG, RUBBISH))),
                "a configuration is checked where it comes into force");
        assertDoesNotThrow(
                () -> FactValidator.check(List.of(new Fact(200, "k", 1, 1, RUBBISH))), "of a kind not known here");
    }

    @Test
    void whatCannotIsGarbled() {
        byte[] another = Codec.encode(new Synced(1, 2));
        for (FactKind kind : good().keySet()) {
            for (byte[] bad : List.of(RUBBISH, new byte[0], another)) {
                FrameException x = assertThrows(
                        FrameException.class, () -> FactValidator.check(List.of(item(kind, bad))), "kind " + kind);
                assertNotNull(x.reason());
            }
        }
    }
}
