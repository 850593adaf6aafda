package ringspindle.protocol;

import static ringspindle.protocol.Fields.bytes;
import static ringspindle.protocol.Fields.flag;
import static ringspindle.protocol.Fields.isSet;
import static ringspindle.protocol.Fields.putBytes;

import java.util.ArrayList;
import java.util.List;
import org.agrona.DirectBuffer;
import org.agrona.MutableDirectBuffer;
import ringspindle.protocol.ShardMessage.LogEntry;
import ringspindle.protocol.ShardMessage.ReplicaRow;
import ringspindle.protocol.ShardMessage.ShardAck;
import ringspindle.protocol.ShardMessage.ShardAppend;
import ringspindle.protocol.ShardMessage.ShardEntry;
import ringspindle.protocol.ShardMessage.ShardPromise;
import ringspindle.protocol.ShardMessage.StorageReport;
import ringspindle.protocol.ShardMessage.StoreIdentity;
import ringspindle.sbe.MessageHeaderDecoder;
import ringspindle.sbe.MessageHeaderEncoder;
import ringspindle.sbe.ShardAckDecoder;
import ringspindle.sbe.ShardAckEncoder;
import ringspindle.sbe.ShardAppendDecoder;
import ringspindle.sbe.ShardAppendEncoder;
import ringspindle.sbe.ShardEntryDecoder;
import ringspindle.sbe.ShardEntryEncoder;
import ringspindle.sbe.ShardPromiseDecoder;
import ringspindle.sbe.ShardPromiseEncoder;
import ringspindle.sbe.StorageReportDecoder;
import ringspindle.sbe.StorageReportEncoder;
import ringspindle.sbe.StoreIdentityDecoder;
import ringspindle.sbe.StoreIdentityEncoder;

/** Messages and records of replicas of a shard. */
final class ShardCodec {
    static final List<MessageTemplate<?>> TEMPLATES = List.of(
            new MessageTemplate<>(
                    ShardAppendDecoder.TEMPLATE_ID,
                    ShardAppendDecoder.BLOCK_LENGTH,
                    ShardAppend.class,
                    ShardCodec::writeShardAppend,
                    ShardCodec::readShardAppend),
            new MessageTemplate<>(
                    ShardAckDecoder.TEMPLATE_ID,
                    ShardAckDecoder.BLOCK_LENGTH,
                    ShardAck.class,
                    ShardCodec::writeShardAck,
                    ShardCodec::readShardAck),
            new MessageTemplate<>(
                    ShardEntryDecoder.TEMPLATE_ID,
                    ShardEntryDecoder.BLOCK_LENGTH,
                    ShardEntry.class,
                    ShardCodec::writeShardEntry,
                    ShardCodec::readShardEntry),
            new MessageTemplate<>(
                    ShardPromiseDecoder.TEMPLATE_ID,
                    ShardPromiseDecoder.BLOCK_LENGTH,
                    ShardPromise.class,
                    ShardCodec::writeShardPromise,
                    ShardCodec::readShardPromise),
            new MessageTemplate<>(
                    StoreIdentityDecoder.TEMPLATE_ID,
                    StoreIdentityDecoder.BLOCK_LENGTH,
                    StoreIdentity.class,
                    ShardCodec::writeStoreIdentity,
                    ShardCodec::readStoreIdentity),
            new MessageTemplate<>(
                    StorageReportDecoder.TEMPLATE_ID,
                    StorageReportDecoder.BLOCK_LENGTH,
                    StorageReport.class,
                    ShardCodec::writeStorageReport,
                    ShardCodec::readStorageReport));

    private ShardCodec() {}

    private static int writeShardAppend(ShardAppend message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        ShardAppendEncoder encoder = new ShardAppendEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .shard(message.shard())
                .epoch(message.epoch())
                .store(message.store())
                .round(message.round())
                .previousEpoch(message.previousEpoch())
                .previousSeq(message.previousSeq())
                .committed(message.committed());
        ShardAppendEncoder.EntriesEncoder entries =
                encoder.entriesCount(message.entries().size());
        for (LogEntry entry : message.entries()) {
            entries.next().entryEpoch(entry.epoch()).seq(entry.seq());
            putBytes(entry.record(), entries::putRecord);
        }
        return encoder.limit();
    }

    private static ShardAppend readShardAppend(DirectBuffer buffer, MessageHeaderDecoder header) {
        ShardAppendDecoder decoder = new ShardAppendDecoder().wrapAndApplyHeader(buffer, 0, header);
        List<LogEntry> entries = new ArrayList<>();
        ShardAppend fixed = new ShardAppend(
                decoder.shard(),
                decoder.epoch(),
                decoder.store(),
                decoder.round(),
                decoder.previousEpoch(),
                decoder.previousSeq(),
                decoder.committed(),
                entries);
        for (ShardAppendDecoder.EntriesDecoder row : decoder.entries()) {
            long epoch = row.entryEpoch();
            long seq = row.seq();
            entries.add(new LogEntry(epoch, seq, bytes(row.recordLength(), row::getRecord)));
        }
        return fixed;
    }

    private static int writeShardAck(ShardAck message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        ShardAckEncoder encoder = new ShardAckEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .shard(message.shard())
                .epoch(message.epoch())
                .store(message.store())
                .round(message.round())
                .matched(flag(message.matched()))
                .seq(message.seq());
        return encoder.limit();
    }

    private static ShardAck readShardAck(DirectBuffer buffer, MessageHeaderDecoder header) {
        ShardAckDecoder decoder = new ShardAckDecoder().wrapAndApplyHeader(buffer, 0, header);
        return new ShardAck(
                decoder.shard(),
                decoder.epoch(),
                decoder.store(),
                decoder.round(),
                isSet(decoder.matched()),
                decoder.seq());
    }

    private static int writeShardEntry(ShardEntry message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        ShardEntryEncoder encoder = new ShardEntryEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .shard(message.shard())
                .epoch(message.epoch())
                .seq(message.seq())
                .committed(message.committed());
        putBytes(message.record(), encoder::putRecord);
        return encoder.limit();
    }

    private static ShardEntry readShardEntry(DirectBuffer buffer, MessageHeaderDecoder header) {
        ShardEntryDecoder decoder = new ShardEntryDecoder().wrapAndApplyHeader(buffer, 0, header);
        return new ShardEntry(
                decoder.shard(),
                decoder.epoch(),
                decoder.seq(),
                decoder.committed(),
                bytes(decoder.recordLength(), decoder::getRecord));
    }

    private static int writeShardPromise(
            ShardPromise message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        ShardPromiseEncoder encoder = new ShardPromiseEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .shard(message.shard())
                .epoch(message.epoch())
                .committed(message.committed());
        return encoder.limit();
    }

    private static ShardPromise readShardPromise(DirectBuffer buffer, MessageHeaderDecoder header) {
        ShardPromiseDecoder decoder = new ShardPromiseDecoder().wrapAndApplyHeader(buffer, 0, header);
        return new ShardPromise(decoder.shard(), decoder.epoch(), decoder.committed());
    }

    private static int writeStoreIdentity(
            StoreIdentity message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        StoreIdentityEncoder encoder = new StoreIdentityEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .store(message.store())
                .boot(message.boot());
        return encoder.limit();
    }

    private static StoreIdentity readStoreIdentity(DirectBuffer buffer, MessageHeaderDecoder header) {
        StoreIdentityDecoder decoder = new StoreIdentityDecoder().wrapAndApplyHeader(buffer, 0, header);
        return new StoreIdentity(decoder.store(), decoder.boot());
    }

    private static int writeStorageReport(
            StorageReport message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        StorageReportEncoder encoder = new StorageReportEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .life(message.life())
                .store(message.store())
                .boot(message.boot());
        StorageReportEncoder.ReplicasEncoder replicas =
                encoder.replicasCount(message.replicas().size());
        for (ReplicaRow row : message.replicas()) {
            replicas.next()
                    .shard(row.shard())
                    .epoch(row.epoch())
                    .node(row.node().bits())
                    .standing((short) row.standingCode());
        }
        return encoder.limit();
    }

    private static StorageReport readStorageReport(DirectBuffer buffer, MessageHeaderDecoder header) {
        StorageReportDecoder decoder = new StorageReportDecoder().wrapAndApplyHeader(buffer, 0, header);
        long life = decoder.life();
        long store = decoder.store();
        long boot = decoder.boot();
        List<ReplicaRow> replicas = new ArrayList<>();
        for (StorageReportDecoder.ReplicasDecoder row : decoder.replicas()) {
            replicas.add(new ReplicaRow(row.shard(), row.epoch(), new NodeId(row.node()), row.standing()));
        }
        return new StorageReport(life, store, boot, replicas);
    }
}
