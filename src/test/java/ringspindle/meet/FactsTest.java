package ringspindle.meet;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import ringspindle.know.Book;
import ringspindle.wire.Codec;
import ringspindle.wire.FrameException;
import ringspindle.wire.Msg.Engine;
import ringspindle.wire.Msg.Hello;
import ringspindle.wire.Msg.Item;
import ringspindle.wire.Msg.Lease;
import ringspindle.wire.Msg.Synced;
import ringspindle.wire.NodeId;

/** Facts whose values cannot be read are refused before any of those that came with them is taken. */
class FactsTest {
    private static final NodeId A = NodeId.of("10.0.0.1:7000");
    private static final byte[] RUBBISH = {1, 2, 3};

    private static Item item(int kind, byte[] value) {
        return new Item(kind, "k", 1, 1, value);
    }

    private static Map<Integer, byte[]> good() {
        return Map.of(
                Book.ENGINE,
                Codec.encode(new Engine(1, 0, false, -1, 1, "s", "10.0.0.1:80", "z", "v")),
                Book.LEASE,
                Codec.encode(new Lease(1, 2, 3000)),
                Book.NODE,
                new Roster(1, A, new Hello(A, 1, 1, A.bits(), "n", "z", "r")).value(),
                Book.SILENT,
                new byte[] {1});
    }

    @Test
    void whatCanBeReadPasses() {
        good().forEach((kind, value) -> assertDoesNotThrow(() -> Facts.check(List.of(item(kind, value)))));
        assertDoesNotThrow(
                () -> Facts.check(List.of(item(Book.CONFIG, RUBBISH))),
                "a configuration is checked where it comes into force");
    }

    @Test
    void whatCannotIsGarbled() {
        byte[] another = Codec.encode(new Synced(1, 2));
        for (int kind : good().keySet()) {
            for (byte[] bad : List.of(RUBBISH, new byte[0], another)) {
                FrameException x =
                        assertThrows(FrameException.class, () -> Facts.check(List.of(item(kind, bad))), "kind " + kind);
                assertNotNull(x.reason());
            }
        }
    }
}
