package ringspindle.protocol;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ringspindle.protocol.BatchMessage.ItemCancel;
import ringspindle.protocol.BatchMessage.ItemEnd;
import ringspindle.protocol.BatchMessage.ItemRun;
import ringspindle.protocol.BatchMessage.JobAccepted;
import ringspindle.protocol.BatchMessage.JobCall;
import ringspindle.protocol.BatchMessage.JobFailed;
import ringspindle.protocol.BatchMessage.JobItemData;
import ringspindle.protocol.BatchMessage.JobListed;
import ringspindle.protocol.BatchMessage.JobMark;
import ringspindle.protocol.BatchMessage.JobReply;
import ringspindle.protocol.ShardMessage.LogEntry;
import ringspindle.protocol.ShardMessage.ReplicaRow;
import ringspindle.protocol.ShardMessage.ShardAck;
import ringspindle.protocol.ShardMessage.ShardAppend;
import ringspindle.protocol.ShardMessage.ShardEntry;
import ringspindle.protocol.ShardMessage.ShardPromise;
import ringspindle.protocol.ShardMessage.StorageReport;
import ringspindle.protocol.ShardMessage.StoreIdentity;
import ringspindle.protocol.TenantMessage.QuotaAsk;
import ringspindle.protocol.TenantMessage.QuotaGrant;
import ringspindle.protocol.TenantMessage.QuotaLeave;
import ringspindle.protocol.TenantMessage.QuotaNeed;
import ringspindle.protocol.TenantMessage.UsageReport;
import ringspindle.protocol.TenantMessage.UsageRow;

/** Messages of batch jobs and shards, each with ordinary values and, where it has numbers, with the largest. */
final class GoldenBatchMessages {
    private static final long MAX = Long.MAX_VALUE;
    private static final byte[] BYTES = "Gr\u00f6\u00dfe".getBytes(UTF_8);
    private static final byte[] NONE = {};
    private static final NodeId NODE = NodeId.of("10.0.0.1:7002");

    private GoldenBatchMessages() {}

    static Map<String, Message> all() {
        Map<String, Message> messages = new LinkedHashMap<>();
        messages.put(
                "JobCall.ordinary", new JobCall(7, 1, 3, 12, 1000, "7c41", "e5b2", "r-1", "a.example", "t", BYTES));
        messages.put("JobCall.largest", new JobCall(MAX, 255, Integer.MAX_VALUE, MAX, 1, "", "", "", "", "", NONE));
        messages.put("JobReply.ordinary", new JobReply(7, 1, BYTES));
        messages.put(
                "ItemRun.ordinary",
                new ItemRun(9, "e5b2", "a.example", "/p/1", "t", "Model: m\n".getBytes(UTF_8), BYTES));
        messages.put("ItemEnd.ordinary", new ItemEnd(9, 1, BYTES));
        messages.put("ItemCancel.ordinary", new ItemCancel(9));
        messages.put(
                "ShardAppend.ordinary",
                new ShardAppend(
                        3, 5, 77, 8, 4, 11, 10, List.of(new LogEntry(5, 12, BYTES), new LogEntry(5, 13, NONE))));
        messages.put("ShardAppend.empty", new ShardAppend(0, MAX, -1, MAX, 0, 0, 0, List.of()));
        messages.put("ShardAck.ordinary", new ShardAck(3, 5, 77, 8, true, 13));
        messages.put("ShardEntry.ordinary", new ShardEntry(3, 5, 12, 10, BYTES));
        messages.put("ShardPromise.ordinary", new ShardPromise(3, 5, 10));
        messages.put("StoreIdentity.ordinary", new StoreIdentity(-77, 2));
        messages.put("StorageReport.ordinary", new StorageReport(1, -77, 2, List.of(new ReplicaRow(3, 5, NODE, 1))));
        messages.put(
                "JobAccepted.ordinary",
                new JobAccepted(
                        "7c41",
                        "r-1",
                        "a.example",
                        "",
                        60,
                        List.of(new JobItemData("e5b2", "/p/1", 940, "Model: m\n".getBytes(UTF_8), BYTES))));
        messages.put("JobListed.ordinary", new JobListed("7c41", 2, 0, BYTES));
        messages.put("JobFailed.ordinary", new JobFailed("7c41", 2));
        messages.put("JobMark.ordinary", new JobMark("7c41", 1));
        messages.put("QuotaAsk.ordinary", new QuotaAsk(NODE, 4, List.of(new QuotaNeed("kaje80", 2, 1))));
        messages.put("QuotaGrant.ordinary", new QuotaGrant(NODE, 4, List.of(new QuotaLeave("kaje80", 1, 120))));
        messages.put("UsageReport.ordinary", new UsageReport(NODE, 9, List.of(new UsageRow(353445120, "kaje80", 412))));
        return messages;
    }
}
