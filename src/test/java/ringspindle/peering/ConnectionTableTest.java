package ringspindle.peering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;

/** Guards against messages of a process that is gone passing for those of the next one at its address. */
class ConnectionTableTest {
    private static final NodeId PEER = NodeId.of("10.0.0.2:7000");

    private final ConnectionTable<String> table = new ConnectionTable<>(NodeId.of("10.0.0.1:7000"));

    private void admit(String connection, long life) {
        table.opened(connection, null);
        table.greeted(connection, new Hello(PEER, life, NodeKind.DATA, 0, "d", "z", "r"));
    }

    @Test
    void theConnectionOfAnEarlierProcessIsOutlivedAndOneOfTheSameIsNot() {
        admit("first", 1);
        admit("second of the same process", 1);
        assertFalse(table.isOutlived("first"));
        admit("of the next process", 2);
        assertTrue(table.isOutlived("first"));
        assertTrue(table.isOutlived("second of the same process"));
        assertFalse(table.isOutlived("of the next process"));
    }

    @Test
    void aConnectionIsFoundByTheProcessBehindIt() {
        admit("first", 1);
        assertEquals("first", table.get(PEER, 1));
        admit("of the next process", 2);
        assertNull(table.get(PEER, 1));
        assertEquals("of the next process", table.get(PEER, 2));
    }

    @Test
    void aClosedConnectionIsOutlived() {
        admit("only", 1);
        table.closed("only", null);
        assertTrue(table.isOutlived("only"));
    }
}
