package ringspindle.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import ringspindle.protocol.BatchMessage.JobListed;

/** How many items run at a time: enough that jobs are done in time, and few while they have time. */
class RunPaceTest {
    private static final int DUE_MS = 10_000;
    private static final int RUN_MS = 2000;

    private final JobTable table = new JobTable();

    private void accept(String id, int items, long nowMs) {
        AcceptedJobs.accept(table, id, items, 60, nowMs);
    }

    private int places(long nowMs) {
        return RunPace.places(table.jobs(), job -> job.learntMs() + DUE_MS, RUN_MS, nowMs);
    }

    @Test
    void nothingIsNeededWithoutJobs() {
        assertEquals(0, places(0));
    }

    @Test
    void theLessTimeIsLeftTheMoreRun() {
        accept("a", 80, 0);
        int atOnce = places(0);
        assertTrue(atOnce < 40, atOnce + " of 80");
        assertTrue(places(4000) > atOnce);
        assertEquals(100, places(9000), "all of them, and a reserve");
    }

    @Test
    void jobsOfRisingAgeAreAllDoneInTime() {
        long nowMs = 0;
        List<Long> endsMs = new ArrayList<>();
        int listed = 0;
        for (int step = 0; step < 1200; step++, nowMs += 50) {
            if (step % 20 == 0 && step < 800) {
                accept("job" + step, 80, nowMs);
            }
            long now = nowMs;
            endsMs.removeIf(end -> end <= now);
            int most = places(nowMs);
            for (Job job : table.jobs()) {
                for (JobItem item : job.items()) {
                    if (!item.isListed() && endsMs.size() < most) {
                        endsMs.add(nowMs + RUN_MS);
                        table.apply(new JobListed(job.id(), item.index(), 0, new byte[0]), nowMs);
                        listed++;
                        assertTrue(nowMs + RUN_MS <= job.learntMs() + DUE_MS, "late");
                    }
                }
            }
        }
        assertEquals(40 * 80, listed);
    }
}
