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
import ringspindle.protocol.Message.Digest;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.Lease;
import ringspindle.protocol.Message.News;
import ringspindle.sbe.DigestDecoder;
import ringspindle.sbe.DigestEncoder;
import ringspindle.sbe.EngineDecoder;
import ringspindle.sbe.EngineEncoder;
import ringspindle.sbe.LeaseDecoder;
import ringspindle.sbe.LeaseEncoder;
import ringspindle.sbe.MessageHeaderDecoder;
import ringspindle.sbe.MessageHeaderEncoder;
import ringspindle.sbe.NewsDecoder;
import ringspindle.sbe.NewsEncoder;

/** Messages that pass facts on, and the facts whose values are messages. */
final class GossipCodec {
    static final List<MessageTemplate<?>> TEMPLATES = List.of(
            new MessageTemplate<>(
                    NewsDecoder.TEMPLATE_ID,
                    NewsDecoder.BLOCK_LENGTH,
                    News.class,
                    GossipCodec::writeNews,
                    GossipCodec::readNews),
            new MessageTemplate<>(
                    DigestDecoder.TEMPLATE_ID,
                    DigestDecoder.BLOCK_LENGTH,
                    Digest.class,
                    GossipCodec::writeDigest,
                    GossipCodec::readDigest),
            new MessageTemplate<>(
                    LeaseDecoder.TEMPLATE_ID,
                    LeaseDecoder.BLOCK_LENGTH,
                    Lease.class,
                    GossipCodec::writeLease,
                    GossipCodec::readLease),
            new MessageTemplate<>(
                    EngineDecoder.TEMPLATE_ID,
                    EngineDecoder.BLOCK_LENGTH,
                    Engine.class,
                    GossipCodec::writeEngine,
                    GossipCodec::readEngine));

    private GossipCodec() {}

    private static int writeNews(News message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        NewsEncoder encoder =
                new NewsEncoder().wrapAndApplyHeader(buffer, 0, header).full(flag(message.full()));
        NewsEncoder.ItemsEncoder items = encoder.itemsCount(message.items().size());
        for (Fact fact : message.items()) {
            items.next().kind((short) fact.kindCode()).life(fact.life()).version(fact.version());
            putText(fact.key(), items::putKey);
            putBytes(fact.value(), items::putValue);
        }
        return encoder.limit();
    }

    private static News readNews(DirectBuffer buffer, MessageHeaderDecoder header) {
        NewsDecoder decoder = new NewsDecoder().wrapAndApplyHeader(buffer, 0, header);
        boolean full = isSet(decoder.full());
        List<Fact> items = new ArrayList<>();
        for (NewsDecoder.ItemsDecoder row : decoder.items()) {
            items.add(readFact(row));
        }
        return new News(full, items);
    }

    private static Fact readFact(NewsDecoder.ItemsDecoder row) {
        int kind = row.kind();
        long life = row.life();
        long version = row.version();
        String key = text(row.keyLength(), row::getKey);
        byte[] value = bytes(row.valueLength(), row::getValue);
        return new Fact(kind, key, life, version, value);
    }

    private static int writeDigest(Digest message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        DigestEncoder encoder = new DigestEncoder().wrapAndApplyHeader(buffer, 0, header);
        DigestEncoder.RangesEncoder ranges = encoder.rangesCount(message.ranges().length);
        for (long hash : message.ranges()) {
            ranges.next().hash(hash);
        }
        return encoder.limit();
    }

    private static Digest readDigest(DirectBuffer buffer, MessageHeaderDecoder header) {
        DigestDecoder.RangesDecoder rows =
                new DigestDecoder().wrapAndApplyHeader(buffer, 0, header).ranges();
        long[] ranges = new long[rows.count()];
        for (int i = 0; i < ranges.length; i++) {
            ranges[i] = rows.next().hash();
        }
        return new Digest(ranges);
    }

    private static int writeLease(Lease message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        LeaseEncoder encoder = new LeaseEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .epoch(message.epoch())
                .nodes(message.nodes())
                .ttlMs(message.ttlMs());
        return encoder.limit();
    }

    private static Lease readLease(DirectBuffer buffer, MessageHeaderDecoder header) {
        LeaseDecoder decoder = new LeaseDecoder().wrapAndApplyHeader(buffer, 0, header);
        return new Lease(decoder.epoch(), decoder.nodes(), decoder.ttlMs());
    }

    private static int writeEngine(Engine message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        EngineEncoder encoder = new EngineEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .capacity(message.capacity())
                .coldMs(message.coldMs())
                .draining(flag(message.draining()))
                .remainingMs(message.remainingMs())
                .weights(message.weights());
        putText(message.service(), encoder::putService);
        putText(message.address(), encoder::putAddress);
        putText(message.zone(), encoder::putZone);
        putText(message.revision(), encoder::putRevision);
        return encoder.limit();
    }

    private static Engine readEngine(DirectBuffer buffer, MessageHeaderDecoder header) {
        EngineDecoder decoder = new EngineDecoder().wrapAndApplyHeader(buffer, 0, header);
        return new Engine(
                decoder.capacity(),
                decoder.coldMs(),
                isSet(decoder.draining()),
                decoder.remainingMs(),
                decoder.weights(),
                text(decoder.serviceLength(), decoder::getService),
                text(decoder.addressLength(), decoder::getAddress),
                text(decoder.zoneLength(), decoder::getZone),
                text(decoder.revisionLength(), decoder::getRevision));
    }
}
