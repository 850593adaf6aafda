package ringspindle.batch;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import ringspindle.batch.RunQueue.ItemKey;
import ringspindle.protocol.BatchMessage.JobAccepted;
import ringspindle.protocol.BatchMessage.JobItemData;
import ringspindle.protocol.BatchMessage.JobListed;
import ringspindle.protocol.BatchMessage.JobMark;
import ringspindle.protocol.JobMarkKind;

/** Jobs by their committed records, and what runs next. */
class JobTableTest {
    private static final byte[] NONE = {};

    private final JobTable table = new JobTable();

    private static JobAccepted job(String id, int items, int maxWaitS) {
        List<JobItemData> data = IntStream.range(0, items)
                .mapToObj(item -> new JobItemData(id + "-" + item, "/p/" + item, 10, NONE, NONE))
                .toList();
        return new JobAccepted(id, "r", "h", "", maxWaitS, data);
    }

    private void list(String id, int item, JobItem.State state, String text) {
        table.apply(new JobListed(id, item, state.code(), text.getBytes(UTF_8)), 0);
    }

    private String page(String id, long position) {
        return new String(table.job(id).page(position), UTF_8);
    }

    @Test
    void positionsAreTheOrderOfRecordsAndNeverChange() {
        table.apply(job("a", 3, 0), 0);
        list("a", 2, JobItem.State.COMPLETED, "two\n\"2\"");
        String first = page("a", 0);
        list("a", 0, JobItem.State.DEAD_LETTER, "");
        list("a", 2, JobItem.State.DEAD_LETTER, "again");
        assertEquals(
                "{\"total\":3,\"nextToken\":1,\"results\":[{\"instanceId\":\"a-2\",\"state\":\"completed\",\"message\":\"two\\n\\\"2\\\"\"}]}",
                first);
        assertEquals(
                "{\"total\":3,\"nextToken\":2,\"results\":[{\"instanceId\":\"a-0\",\"state\":\"dead_letter\",\"message\":\"\"}]}",
                page("a", 1));
        assertEquals("{\"total\":3,\"nextToken\":2,\"results\":[]}", page("a", 7));
    }

    @Test
    void aPageHasOneResultAtLeastAndNotManyLongOnes() {
        table.apply(job("a", 3, 0), 0);
        String text = "x".repeat(Job.PAGE_BYTES_MAX);
        for (int item = 0; item < 3; item++) {
            list("a", item, JobItem.State.COMPLETED, text);
        }
        assertTrue(page("a", 0).contains("\"nextToken\":1,"));
        assertTrue(page("a", 2).contains("\"nextToken\":3,"));
    }

    @Test
    void whatWaitsIsNeitherListedNorOfAnEndedJob() {
        table.apply(job("a", 3, 0), 0);
        table.apply(job("b", 2, 0), 0);
        assertEquals(50, table.waitingTokens("", "r"));
        assertEquals(0, table.waitingTokens("t", "r"));
        list("a", 1, JobItem.State.COMPLETED, "");
        table.apply(new JobMark("b", JobMarkKind.ENDED.code()), 0);
        assertEquals(20, table.waitingTokens("", "r"));
        assertTrue(table.job("b").isClosed());
        table.apply(new JobMark("b", JobMarkKind.FORGOTTEN.code()), 0);
        assertNull(table.job("b"));
        list("b", 0, JobItem.State.COMPLETED, "of a job that is gone");
        table.apply(job("a", 9, 0), 0);
        assertEquals(3, table.job("a").items().size(), "a job is taken once");
    }

    @Test
    void theOldestJobRunsFirstEachItemAtOnePlaceAtATime() {
        table.apply(job("a", 2, 0), 0);
        table.apply(job("b", 2, 0), 0);
        RunQueue queue = new RunQueue();
        assertEquals(
                List.of(new ItemKey("a", 0), new ItemKey("a", 1), new ItemKey("b", 0)),
                queue.take(table.jobs(), 3, 100));
        queue.again(new ItemKey("a", 1), 200);
        assertEquals(List.of(new ItemKey("b", 1)), queue.take(table.jobs(), 9, 150));
        assertEquals(List.of(new ItemKey("a", 1)), queue.take(table.jobs(), 9, 200));
        list("a", 0, JobItem.State.COMPLETED, "");
        queue.again(new ItemKey("a", 0), 0);
        assertEquals(List.of(), queue.take(table.jobs(), 9, 300));
    }

    @Test
    void onlyWhatWaitsForTooLongExpires() {
        table.apply(job("a", 2, 5), 1000);
        RunQueue queue = new RunQueue();
        queue.take(table.jobs(), 1, 1000);
        assertEquals(List.of(), queue.takeExpired(table.jobs(), 500, 6500));
        assertEquals(List.of(new ItemKey("a", 1)), queue.takeExpired(table.jobs(), 500, 6501));
        assertFalse(table.job("a").isClosed());
    }
}
