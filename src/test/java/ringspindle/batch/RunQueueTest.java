package ringspindle.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import ringspindle.batch.RunQueue.ItemKey;
import ringspindle.protocol.BatchMessage.JobListed;

/** Items of the oldest jobs first, none at two places, none lost, none before its pause is over. */
class RunQueueTest {
    private static final int MAX_WAIT_S = 60;

    private final JobTable table = new JobTable();
    private final RunQueue queue = new RunQueue();

    private void accept(String id, int items, long nowMs) {
        AcceptedJobs.accept(table, id, items, MAX_WAIT_S, nowMs);
    }

    private void list(ItemKey key) {
        table.apply(new JobListed(key.job(), key.item(), 0, new byte[0]), 0);
    }

    @Test
    void oldestJobsFirstEachItemOnce() {
        accept("a", 3, 0);
        accept("b", 2, 0);
        assertEquals(
                List.of(new ItemKey("a", 0), new ItemKey("a", 1), new ItemKey("a", 2), new ItemKey("b", 0)),
                queue.take(table.jobs(), 4, 0));
        assertEquals(List.of(new ItemKey("b", 1)), queue.take(table.jobs(), 4, 0));
        assertEquals(List.of(), queue.take(table.jobs(), 4, 0));
    }

    @Test
    void anItemComesBackAfterItsPauseAndOnlyOnce() {
        accept("a", 1, 0);
        ItemKey key = queue.take(table.jobs(), 1, 0).get(0);
        queue.again(key, 100);
        queue.again(key, 50);
        assertEquals(List.of(), queue.take(table.jobs(), 5, 99));
        assertEquals(List.of(key), queue.take(table.jobs(), 5, 100));
    }

    @Test
    void whatIsListedOrOverIsNotTaken() {
        accept("a", 2, 0);
        list(new ItemKey("a", 0));
        assertEquals(List.of(new ItemKey("a", 1)), queue.take(table.jobs(), 5, 0));
        queue.again(new ItemKey("a", 1), 10);
        list(new ItemKey("a", 1));
        assertEquals(List.of(), queue.take(table.jobs(), 5, 20));
    }

    @Test
    void whatWaitsTooLongIsTakenWhateverItsPause() {
        accept("a", 2, 0);
        ItemKey first = queue.take(table.jobs(), 1, 0).get(0);
        queue.again(first, 1_000_000);
        assertEquals(List.of(), queue.takeExpired(table.jobs(), 1000, MAX_WAIT_S * 1000L));
        assertEquals(
                Set.of(first, new ItemKey("a", 1)),
                new HashSet<>(queue.takeExpired(table.jobs(), 1000, MAX_WAIT_S * 1000L + 2000)));
    }

    /** Runs that end in every way, over seeds: each item is listed once, and never runs at two places. */
    @Test
    void noItemIsLostOrRunsTwice() {
        for (long seed = 1; seed <= 20; seed++) {
            Random random = new Random(seed);
            JobTable jobs = new JobTable();
            RunQueue runs = new RunQueue();
            Set<ItemKey> running = new HashSet<>();
            for (long nowMs = 0; nowMs < 60_000; nowMs += 50) {
                if (nowMs % 1000 == 0 && nowMs < 20_000) {
                    AcceptedJobs.accept(jobs, "j" + nowMs, 1 + random.nextInt(30), 0, nowMs);
                }
                for (ItemKey key : runs.take(jobs.jobs(), random.nextInt(8), nowMs)) {
                    assertTrue(running.add(key), "seed " + seed + ": " + key + " runs already");
                }
                for (ItemKey key : List.copyOf(running)) {
                    int end = random.nextInt(10);
                    if (end < 3) {
                        running.remove(key);
                        jobs.apply(new JobListed(key.job(), key.item(), 0, new byte[0]), nowMs);
                    } else if (end == 3) {
                        running.remove(key);
                        runs.again(key, nowMs + random.nextInt(400));
                    }
                }
                runs.retain(jobs.jobs());
            }
            assertTrue(jobs.jobs().stream().allMatch(Job::isClosed), "seed " + seed);
        }
    }
}
