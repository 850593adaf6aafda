package ringspindle.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import ringspindle.protocol.NodeId;

/** The longest chain when some links are broken. */
class ChainPathTest {
    private static final NodeId A = NodeId.of("10.0.0.1:7000");
    private static final NodeId B = NodeId.of("10.0.0.2:7000");
    private static final NodeId C = NodeId.of("10.0.0.3:7000");

    @Test
    void keepsTheGivenOrderWhenAllAreConnected() {
        assertEquals(List.of(A, B, C), ChainPath.longest(A, List.of(B, C), (one, other) -> true));
    }

    @Test
    void reordersAroundABrokenLink() {
        List<NodeId> path = ChainPath.longest(A, List.of(B, C), (one, other) -> !(one.equals(A) && other.equals(B)));
        assertEquals(List.of(A, C, B), path);
    }

    @Test
    void omitsAnUnreachableMember() {
        List<NodeId> path = ChainPath.longest(A, List.of(B, C), (one, other) -> !other.equals(B));
        assertEquals(List.of(A, C), path);
    }
}
