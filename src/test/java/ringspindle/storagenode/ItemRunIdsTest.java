package ringspindle.storagenode;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import ringspindle.protocol.BatchMessage.ItemEnd;
import ringspindle.protocol.BatchMessage.ItemRun;
import ringspindle.protocol.ItemOutcome;

/**
 * Guards against items with the text of another item, and against items that are never run again: ids of runs began at 1 in each
 * process of a leader, and a connection that replaced another one without its end being noticed ended no run.
 */
class ItemRunIdsTest {
    private static final int ITEMS = 4;

    /** Draws the numbers of all processes, which are therefore different. */
    private final Random random = new Random(1);

    private HollowLeader start(String job) throws Exception {
        HollowLeader leader = new HollowLeader(random::nextLong);
        leader.dataNodeConnects(1);
        leader.executorConnects(1);
        leader.submit(1, job, ITEMS);
        leader.sync();
        return leader;
    }

    private static List<ItemRun> runsAtExecutor(HollowLeader leader) {
        return leader.mesh().sentTo(HollowLeader.EXECUTOR, ItemRun.class);
    }

    private static void end(HollowLeader leader, ItemRun run, String text) {
        leader.mesh()
                .listener()
                .received(
                        HollowLeader.EXECUTOR,
                        new ItemEnd(run.id(), ItemOutcome.COMPLETED.code(), text.getBytes(UTF_8)));
        leader.sync();
    }

    @Test
    void endOfARunOfAnEarlierProcessIsNoResultOfTheNextOne() throws Exception {
        List<ItemRun> ofEarlier = runsAtExecutor(start("first"));
        HollowLeader restarted = start("second");
        List<ItemRun> own = runsAtExecutor(restarted);

        ofEarlier.forEach(run -> end(restarted, run, "text of first"));
        assertFalse(restarted.results(2, "second").contains("text of first"));
        own.forEach(run -> end(restarted, run, "text of second"));
        assertTrue(restarted.results(3, "second").contains("text of second"));
    }

    @Test
    void itemsAreRunAgainWhenANewConnectionReplacesTheOneThatTheyWereSentOver() throws Exception {
        HollowLeader leader = start("job");
        Set<String> lost = new TreeSet<>();
        runsAtExecutor(leader).forEach(run -> lost.add(run.item()));
        assertFalse(lost.isEmpty());
        leader.mesh().clear();

        leader.executorConnects(2);
        leader.node().tick();
        runsAtExecutor(leader).forEach(run -> end(leader, run, "text"));
        String results = leader.results(2, "job");
        lost.forEach(item -> assertTrue(results.contains(item), () -> item + " in " + results));
    }

    @Test
    void whatALeaderAskedForEndsWhenANewConnectionReplacesItsOldOne() throws Exception {
        HollowLeader node = start("job");
        int before = node.node().leadersDropped().size();
        node.executorConnects(2);
        assertEquals(
                List.of(HollowLeader.EXECUTOR),
                node.node()
                        .leadersDropped()
                        .subList(before, node.node().leadersDropped().size()));
    }
}
