package ringspindle.batch;

import java.util.ArrayList;
import java.util.List;
import ringspindle.protocol.BatchMessage.JobAccepted;
import ringspindle.protocol.BatchMessage.JobItemData;

/** Jobs for tests, with items that hold nothing. */
final class AcceptedJobs {
    private AcceptedJobs() {}

    static void accept(JobTable table, String id, int items, int maxWaitS, long nowMs) {
        List<JobItemData> data = new ArrayList<>();
        for (int item = 0; item < items; item++) {
            data.add(new JobItemData(id + "-" + item, "/b/x", 10, new byte[0], new byte[0]));
        }
        table.apply(new JobAccepted(id, "b", "h", "", maxWaitS, data), nowMs);
    }
}
