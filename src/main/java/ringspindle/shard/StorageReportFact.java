package ringspindle.shard;

import ringspindle.protocol.Codec;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.ShardMessage.StorageReport;

/**
 * A storage node's report as a fact. Whose report it is stands in the key of the fact, beside the identity of the disk: the number of a
 * process says nothing of that, as processes that start in the same millisecond draw the same one.
 */
public record StorageReportFact(NodeId node, StorageReport report) {
    private static final char SEPARATOR = '/';

    /**
     * The report as it is told to control nodes.
     *
     * @param version rises with each change of the report within one start of the process
     */
    public Fact write(long version) {
        String key = node.toString() + SEPARATOR + Long.toHexString(report.store());
        return new Fact(FactKind.STORAGE, key, report.boot(), version, Codec.encode(report));
    }

    /** Reads what {@link #write} wrote; throws a {@link RuntimeException} on anything else. */
    public static StorageReportFact read(Fact fact) {
        String key = fact.key();
        NodeId node = NodeId.of(key.substring(0, key.indexOf(SEPARATOR)));
        return new StorageReportFact(node, (StorageReport) Codec.decode(fact.value()));
    }
}
