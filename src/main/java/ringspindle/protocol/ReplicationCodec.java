package ringspindle.protocol;

import static ringspindle.protocol.Fields.bytes;
import static ringspindle.protocol.Fields.flag;
import static ringspindle.protocol.Fields.isSet;
import static ringspindle.protocol.Fields.putBytes;
import static ringspindle.protocol.Fields.putText;
import static ringspindle.protocol.Fields.text;

import java.util.ArrayList;
import java.util.List;
import org.agrona.DirectBuffer;
import org.agrona.MutableDirectBuffer;
import ringspindle.protocol.Message.Confirm;
import ringspindle.protocol.Message.Confirmed;
import ringspindle.protocol.Message.Entry;
import ringspindle.protocol.Message.Install;
import ringspindle.protocol.Message.Mark;
import ringspindle.protocol.Message.State;
import ringspindle.protocol.Message.Synced;
import ringspindle.protocol.Message.TakenOrder;
import ringspindle.sbe.ConfirmDecoder;
import ringspindle.sbe.ConfirmEncoder;
import ringspindle.sbe.ConfirmedDecoder;
import ringspindle.sbe.ConfirmedEncoder;
import ringspindle.sbe.EntryDecoder;
import ringspindle.sbe.EntryEncoder;
import ringspindle.sbe.InstallDecoder;
import ringspindle.sbe.InstallEncoder;
import ringspindle.sbe.MessageHeaderDecoder;
import ringspindle.sbe.MessageHeaderEncoder;
import ringspindle.sbe.StateDecoder;
import ringspindle.sbe.StateEncoder;
import ringspindle.sbe.SyncedDecoder;
import ringspindle.sbe.SyncedEncoder;

/** Messages of the replication of the control state, and the state itself. */
final class ReplicationCodec {
    static final List<MessageTemplate<?>> TEMPLATES = List.of(
            new MessageTemplate<>(
                    InstallDecoder.TEMPLATE_ID,
                    InstallDecoder.BLOCK_LENGTH,
                    Install.class,
                    ReplicationCodec::writeInstall,
                    ReplicationCodec::readInstall),
            new MessageTemplate<>(
                    EntryDecoder.TEMPLATE_ID,
                    EntryDecoder.BLOCK_LENGTH,
                    Entry.class,
                    ReplicationCodec::writeEntry,
                    ReplicationCodec::readEntry),
            new MessageTemplate<>(
                    SyncedDecoder.TEMPLATE_ID,
                    SyncedDecoder.BLOCK_LENGTH,
                    Synced.class,
                    ReplicationCodec::writeSynced,
                    ReplicationCodec::readSynced),
            new MessageTemplate<>(
                    ConfirmDecoder.TEMPLATE_ID,
                    ConfirmDecoder.BLOCK_LENGTH,
                    Confirm.class,
                    ReplicationCodec::writeConfirm,
                    ReplicationCodec::readConfirm),
            new MessageTemplate<>(
                    ConfirmedDecoder.TEMPLATE_ID,
                    ConfirmedDecoder.BLOCK_LENGTH,
                    Confirmed.class,
                    ReplicationCodec::writeConfirmed,
                    ReplicationCodec::readConfirmed),
            new MessageTemplate<>(
                    StateDecoder.TEMPLATE_ID,
                    StateDecoder.BLOCK_LENGTH,
                    State.class,
                    ReplicationCodec::writeState,
                    ReplicationCodec::readState));

    private ReplicationCodec() {}

    private static int writeInstall(Install message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        InstallEncoder encoder = new InstallEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .epoch(message.epoch())
                .seq(message.seq());
        putBytes(message.image(), encoder::putImage);
        return encoder.limit();
    }

    private static Install readInstall(DirectBuffer buffer, MessageHeaderDecoder header) {
        InstallDecoder decoder = new InstallDecoder().wrapAndApplyHeader(buffer, 0, header);
        return new Install(decoder.epoch(), decoder.seq(), bytes(decoder.imageLength(), decoder::getImage));
    }

    private static int writeEntry(Entry message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        EntryEncoder encoder = new EntryEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .epoch(message.epoch())
                .seq(message.seq());
        putBytes(message.op(), encoder::putOp);
        return encoder.limit();
    }

    private static Entry readEntry(DirectBuffer buffer, MessageHeaderDecoder header) {
        EntryDecoder decoder = new EntryDecoder().wrapAndApplyHeader(buffer, 0, header);
        return new Entry(decoder.epoch(), decoder.seq(), bytes(decoder.opLength(), decoder::getOp));
    }

    private static int writeSynced(Synced message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        SyncedEncoder encoder = new SyncedEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .epoch(message.epoch())
                .seq(message.seq());
        return encoder.limit();
    }

    private static Synced readSynced(DirectBuffer buffer, MessageHeaderDecoder header) {
        SyncedDecoder decoder = new SyncedDecoder().wrapAndApplyHeader(buffer, 0, header);
        return new Synced(decoder.epoch(), decoder.seq());
    }

    private static int writeConfirm(Confirm message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        ConfirmEncoder encoder = new ConfirmEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .epoch(message.epoch())
                .id(message.id());
        return encoder.limit();
    }

    private static Confirm readConfirm(DirectBuffer buffer, MessageHeaderDecoder header) {
        ConfirmDecoder decoder = new ConfirmDecoder().wrapAndApplyHeader(buffer, 0, header);
        return new Confirm(decoder.epoch(), decoder.id());
    }

    private static int writeConfirmed(Confirmed message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        ConfirmedEncoder encoder = new ConfirmedEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .epoch(message.epoch())
                .id(message.id())
                .ok(flag(message.ok()));
        return encoder.limit();
    }

    private static Confirmed readConfirmed(DirectBuffer buffer, MessageHeaderDecoder header) {
        ConfirmedDecoder decoder = new ConfirmedDecoder().wrapAndApplyHeader(buffer, 0, header);
        return new Confirmed(decoder.epoch(), decoder.id(), isSet(decoder.ok()));
    }

    private static int writeState(State message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        StateEncoder encoder = new StateEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .lineage(message.lineage())
                .seq(message.seq())
                .revision(message.revision());
        StateEncoder.PastEncoder past = encoder.pastCount(message.past().size());
        message.past().forEach(order -> past.next().revision(order.revision()).digest(order.digest()));
        StateEncoder.MarksEncoder marks = encoder.marksCount(message.marks().size());
        for (Mark mark : message.marks()) {
            marks.next().kind((short) mark.kind()).version(mark.version());
            putText(mark.key(), marks::putKey);
            putText(mark.value(), marks::putValue);
        }
        putBytes(message.config(), encoder::putConfig);
        return encoder.limit();
    }

    private static State readState(DirectBuffer buffer, MessageHeaderDecoder header) {
        StateDecoder decoder = new StateDecoder().wrapAndApplyHeader(buffer, 0, header);
        List<TakenOrder> past = new ArrayList<>();
        for (StateDecoder.PastDecoder row : decoder.past()) {
            past.add(new TakenOrder(row.revision(), row.digest()));
        }
        List<Mark> marks = new ArrayList<>();
        for (StateDecoder.MarksDecoder row : decoder.marks()) {
            marks.add(readMark(row));
        }
        return new State(
                decoder.lineage(),
                decoder.seq(),
                decoder.revision(),
                past,
                marks,
                bytes(decoder.configLength(), decoder::getConfig));
    }

    private static Mark readMark(StateDecoder.MarksDecoder row) {
        int kind = row.kind();
        long version = row.version();
        String key = text(row.keyLength(), row::getKey);
        String value = text(row.valueLength(), row::getValue);
        return new Mark(kind, key, version, value);
    }
}
