package ringspindle.protocol;

import static ringspindle.protocol.Fields.bytes;
import static ringspindle.protocol.Fields.putBytes;
import static ringspindle.protocol.Fields.putText;
import static ringspindle.protocol.Fields.text;

import java.util.List;
import org.agrona.DirectBuffer;
import org.agrona.MutableDirectBuffer;
import ringspindle.protocol.BatchMessage.ItemCancel;
import ringspindle.protocol.BatchMessage.ItemEnd;
import ringspindle.protocol.BatchMessage.ItemRun;
import ringspindle.protocol.BatchMessage.JobCall;
import ringspindle.protocol.BatchMessage.JobReply;
import ringspindle.sbe.ItemCancelDecoder;
import ringspindle.sbe.ItemCancelEncoder;
import ringspindle.sbe.ItemEndDecoder;
import ringspindle.sbe.ItemEndEncoder;
import ringspindle.sbe.ItemRunDecoder;
import ringspindle.sbe.ItemRunEncoder;
import ringspindle.sbe.JobCallDecoder;
import ringspindle.sbe.JobCallEncoder;
import ringspindle.sbe.JobReplyDecoder;
import ringspindle.sbe.JobReplyEncoder;
import ringspindle.sbe.MessageHeaderDecoder;
import ringspindle.sbe.MessageHeaderEncoder;

/** Messages about batch jobs. */
final class BatchCodec {
    static final List<MessageTemplate<?>> TEMPLATES = List.of(
            new MessageTemplate<>(
                    JobCallDecoder.TEMPLATE_ID,
                    JobCallDecoder.BLOCK_LENGTH,
                    JobCall.class,
                    BatchCodec::writeJobCall,
                    BatchCodec::readJobCall),
            new MessageTemplate<>(
                    JobReplyDecoder.TEMPLATE_ID,
                    JobReplyDecoder.BLOCK_LENGTH,
                    JobReply.class,
                    BatchCodec::writeJobReply,
                    BatchCodec::readJobReply),
            new MessageTemplate<>(
                    ItemRunDecoder.TEMPLATE_ID,
                    ItemRunDecoder.BLOCK_LENGTH,
                    ItemRun.class,
                    BatchCodec::writeItemRun,
                    BatchCodec::readItemRun),
            new MessageTemplate<>(
                    ItemEndDecoder.TEMPLATE_ID,
                    ItemEndDecoder.BLOCK_LENGTH,
                    ItemEnd.class,
                    BatchCodec::writeItemEnd,
                    BatchCodec::readItemEnd),
            new MessageTemplate<>(
                    ItemCancelDecoder.TEMPLATE_ID,
                    ItemCancelDecoder.BLOCK_LENGTH,
                    ItemCancel.class,
                    BatchCodec::writeItemCancel,
                    BatchCodec::readItemCancel));

    private BatchCodec() {}

    private static int writeJobCall(JobCall message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        JobCallEncoder encoder = new JobCallEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .id(message.id())
                .kind((short) message.kindCode())
                .shard(message.shard())
                .position(message.position())
                .waitMs(message.waitMs());
        putText(message.job(), encoder::putJob);
        putText(message.item(), encoder::putItem);
        putText(message.route(), encoder::putRoute);
        putText(message.host(), encoder::putHost);
        putText(message.tenant(), encoder::putTenant);
        putBytes(message.body(), encoder::putBody);
        return encoder.limit();
    }

    private static JobCall readJobCall(DirectBuffer buffer, MessageHeaderDecoder header) {
        JobCallDecoder decoder = new JobCallDecoder().wrapAndApplyHeader(buffer, 0, header);
        return new JobCall(
                decoder.id(),
                decoder.kind(),
                decoder.shard(),
                decoder.position(),
                decoder.waitMs(),
                text(decoder.jobLength(), decoder::getJob),
                text(decoder.itemLength(), decoder::getItem),
                text(decoder.routeLength(), decoder::getRoute),
                text(decoder.hostLength(), decoder::getHost),
                text(decoder.tenantLength(), decoder::getTenant),
                bytes(decoder.bodyLength(), decoder::getBody));
    }

    private static int writeJobReply(JobReply message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        JobReplyEncoder encoder = new JobReplyEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .id(message.id())
                .status((short) message.statusCode());
        putBytes(message.body(), encoder::putBody);
        return encoder.limit();
    }

    private static JobReply readJobReply(DirectBuffer buffer, MessageHeaderDecoder header) {
        JobReplyDecoder decoder = new JobReplyDecoder().wrapAndApplyHeader(buffer, 0, header);
        return new JobReply(decoder.id(), decoder.status(), bytes(decoder.bodyLength(), decoder::getBody));
    }

    private static int writeItemRun(ItemRun message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        ItemRunEncoder encoder =
                new ItemRunEncoder().wrapAndApplyHeader(buffer, 0, header).id(message.id());
        putText(message.item(), encoder::putItem);
        putText(message.host(), encoder::putHost);
        putText(message.path(), encoder::putPath);
        putText(message.tenant(), encoder::putTenant);
        putBytes(message.headers(), encoder::putHeaders);
        putBytes(message.body(), encoder::putBody);
        return encoder.limit();
    }

    private static ItemRun readItemRun(DirectBuffer buffer, MessageHeaderDecoder header) {
        ItemRunDecoder decoder = new ItemRunDecoder().wrapAndApplyHeader(buffer, 0, header);
        return new ItemRun(
                decoder.id(),
                text(decoder.itemLength(), decoder::getItem),
                text(decoder.hostLength(), decoder::getHost),
                text(decoder.pathLength(), decoder::getPath),
                text(decoder.tenantLength(), decoder::getTenant),
                bytes(decoder.headersLength(), decoder::getHeaders),
                bytes(decoder.bodyLength(), decoder::getBody));
    }

    private static int writeItemEnd(ItemEnd message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        ItemEndEncoder encoder = new ItemEndEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .id(message.id())
                .outcome((short) message.outcomeCode());
        putBytes(message.text(), encoder::putText);
        return encoder.limit();
    }

    private static ItemEnd readItemEnd(DirectBuffer buffer, MessageHeaderDecoder header) {
        ItemEndDecoder decoder = new ItemEndDecoder().wrapAndApplyHeader(buffer, 0, header);
        return new ItemEnd(decoder.id(), decoder.outcome(), bytes(decoder.textLength(), decoder::getText));
    }

    private static int writeItemCancel(ItemCancel message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        ItemCancelEncoder encoder =
                new ItemCancelEncoder().wrapAndApplyHeader(buffer, 0, header).id(message.id());
        return encoder.limit();
    }

    private static ItemCancel readItemCancel(DirectBuffer buffer, MessageHeaderDecoder header) {
        ItemCancelDecoder decoder = new ItemCancelDecoder().wrapAndApplyHeader(buffer, 0, header);
        return new ItemCancel(decoder.id());
    }
}
