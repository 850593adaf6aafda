package ringspindle.protocol;

import static ringspindle.protocol.Fields.flag;
import static ringspindle.protocol.Fields.isSet;
import static ringspindle.protocol.Fields.putText;
import static ringspindle.protocol.Fields.text;

import java.util.ArrayList;
import java.util.List;
import org.agrona.DirectBuffer;
import org.agrona.MutableDirectBuffer;
import ringspindle.protocol.Message.CounterAdd;
import ringspindle.protocol.Message.CounterAdds;
import ringspindle.protocol.Message.CounterPosition;
import ringspindle.protocol.Message.CounterSnapshot;
import ringspindle.protocol.Message.CounterTotal;
import ringspindle.protocol.Message.CounterVector;
import ringspindle.sbe.CounterAddsDecoder;
import ringspindle.sbe.CounterAddsEncoder;
import ringspindle.sbe.CounterSnapshotDecoder;
import ringspindle.sbe.CounterSnapshotEncoder;
import ringspindle.sbe.CounterVectorDecoder;
import ringspindle.sbe.CounterVectorEncoder;
import ringspindle.sbe.MessageHeaderDecoder;
import ringspindle.sbe.MessageHeaderEncoder;

/** Messages and records of replicated counters. */
final class CounterCodec {
    static final List<MessageTemplate<?>> TEMPLATES = List.of(
            new MessageTemplate<>(
                    CounterAddsDecoder.TEMPLATE_ID,
                    CounterAddsDecoder.BLOCK_LENGTH,
                    CounterAdds.class,
                    CounterCodec::writeAdds,
                    CounterCodec::readAdds),
            new MessageTemplate<>(
                    CounterVectorDecoder.TEMPLATE_ID,
                    CounterVectorDecoder.BLOCK_LENGTH,
                    CounterVector.class,
                    CounterCodec::writeVector,
                    CounterCodec::readVector),
            new MessageTemplate<>(
                    CounterSnapshotDecoder.TEMPLATE_ID,
                    CounterSnapshotDecoder.BLOCK_LENGTH,
                    CounterSnapshot.class,
                    CounterCodec::writeSnapshot,
                    CounterCodec::readSnapshot));

    private CounterCodec() {}

    private static int writeAdds(CounterAdds message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        CounterAddsEncoder encoder = new CounterAddsEncoder().wrapAndApplyHeader(buffer, 0, header);
        CounterAddsEncoder.ItemsEncoder items =
                encoder.itemsCount(message.items().size());
        for (CounterAdd add : message.items()) {
            items.next().origin(add.origin()).sequence(add.sequence()).amount(add.amount());
            putText(add.counter(), items::putCounter);
            putText(add.instance(), items::putInstance);
        }
        return encoder.limit();
    }

    private static CounterAdds readAdds(DirectBuffer buffer, MessageHeaderDecoder header) {
        List<CounterAdd> items = new ArrayList<>();
        for (CounterAddsDecoder.ItemsDecoder row :
                new CounterAddsDecoder().wrapAndApplyHeader(buffer, 0, header).items()) {
            items.add(readAdd(row));
        }
        return new CounterAdds(items);
    }

    private static CounterAdd readAdd(CounterAddsDecoder.ItemsDecoder row) {
        long origin = row.origin();
        long sequence = row.sequence();
        long amount = row.amount();
        String counter = text(row.counterLength(), row::getCounter);
        String instance = text(row.instanceLength(), row::getInstance);
        return new CounterAdd(origin, sequence, counter, instance, amount);
    }

    private static int writeVector(CounterVector message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        CounterVectorEncoder encoder = new CounterVectorEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .store(message.store())
                .full(flag(message.full()))
                .joined(flag(message.joined()));
        CounterVectorEncoder.PositionsEncoder rows =
                encoder.positionsCount(message.positions().size());
        for (CounterPosition position : message.positions()) {
            rows.next().origin(position.origin()).sequence(position.sequence());
        }
        return encoder.limit();
    }

    private static CounterVector readVector(DirectBuffer buffer, MessageHeaderDecoder header) {
        CounterVectorDecoder decoder = new CounterVectorDecoder().wrapAndApplyHeader(buffer, 0, header);
        long store = decoder.store();
        boolean full = isSet(decoder.full());
        boolean joined = isSet(decoder.joined());
        List<CounterPosition> positions = new ArrayList<>();
        for (CounterVectorDecoder.PositionsDecoder row : decoder.positions()) {
            positions.add(new CounterPosition(row.origin(), row.sequence()));
        }
        return new CounterVector(store, full, joined, positions);
    }

    private static int writeSnapshot(CounterSnapshot message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        CounterSnapshotEncoder encoder = new CounterSnapshotEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .store(message.store());
        CounterSnapshotEncoder.FoldedEncoder folded =
                encoder.foldedCount(message.folded().size());
        for (CounterPosition position : message.folded()) {
            folded.next().origin(position.origin()).sequence(position.sequence());
        }
        CounterSnapshotEncoder.TotalsEncoder totals =
                encoder.totalsCount(message.totals().size());
        for (CounterTotal total : message.totals()) {
            totals.next();
            putText(total.counter(), totals::putCounter);
            putText(total.total(), totals::putTotal);
        }
        return encoder.limit();
    }

    private static CounterSnapshot readSnapshot(DirectBuffer buffer, MessageHeaderDecoder header) {
        CounterSnapshotDecoder decoder = new CounterSnapshotDecoder().wrapAndApplyHeader(buffer, 0, header);
        long store = decoder.store();
        List<CounterPosition> folded = new ArrayList<>();
        for (CounterSnapshotDecoder.FoldedDecoder row : decoder.folded()) {
            folded.add(new CounterPosition(row.origin(), row.sequence()));
        }
        List<CounterTotal> totals = new ArrayList<>();
        for (CounterSnapshotDecoder.TotalsDecoder row : decoder.totals()) {
            String counter = text(row.counterLength(), row::getCounter);
            totals.add(new CounterTotal(counter, text(row.totalLength(), row::getTotal)));
        }
        return new CounterSnapshot(store, folded, totals);
    }
}
