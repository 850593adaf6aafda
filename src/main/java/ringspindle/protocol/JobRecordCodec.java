package ringspindle.protocol;

import static ringspindle.protocol.Fields.bytes;
import static ringspindle.protocol.Fields.putBytes;
import static ringspindle.protocol.Fields.putText;
import static ringspindle.protocol.Fields.text;

import java.util.ArrayList;
import java.util.List;
import org.agrona.DirectBuffer;
import org.agrona.MutableDirectBuffer;
import ringspindle.protocol.BatchMessage.JobAccepted;
import ringspindle.protocol.BatchMessage.JobFailed;
import ringspindle.protocol.BatchMessage.JobItemData;
import ringspindle.protocol.BatchMessage.JobListed;
import ringspindle.protocol.BatchMessage.JobMark;
import ringspindle.sbe.JobAcceptedDecoder;
import ringspindle.sbe.JobAcceptedEncoder;
import ringspindle.sbe.JobFailedDecoder;
import ringspindle.sbe.JobFailedEncoder;
import ringspindle.sbe.JobListedDecoder;
import ringspindle.sbe.JobListedEncoder;
import ringspindle.sbe.JobMarkDecoder;
import ringspindle.sbe.JobMarkEncoder;
import ringspindle.sbe.MessageHeaderDecoder;
import ringspindle.sbe.MessageHeaderEncoder;

/** Records of batch jobs in the log of their shard. */
final class JobRecordCodec {
    static final List<MessageTemplate<?>> TEMPLATES = List.of(
            new MessageTemplate<>(
                    JobAcceptedDecoder.TEMPLATE_ID,
                    JobAcceptedDecoder.BLOCK_LENGTH,
                    JobAccepted.class,
                    JobRecordCodec::writeJobAccepted,
                    JobRecordCodec::readJobAccepted),
            new MessageTemplate<>(
                    JobListedDecoder.TEMPLATE_ID,
                    JobListedDecoder.BLOCK_LENGTH,
                    JobListed.class,
                    JobRecordCodec::writeJobListed,
                    JobRecordCodec::readJobListed),
            new MessageTemplate<>(
                    JobFailedDecoder.TEMPLATE_ID,
                    JobFailedDecoder.BLOCK_LENGTH,
                    JobFailed.class,
                    JobRecordCodec::writeJobFailed,
                    JobRecordCodec::readJobFailed),
            new MessageTemplate<>(
                    JobMarkDecoder.TEMPLATE_ID,
                    JobMarkDecoder.BLOCK_LENGTH,
                    JobMark.class,
                    JobRecordCodec::writeJobMark,
                    JobRecordCodec::readJobMark));

    private JobRecordCodec() {}

    private static int writeJobAccepted(JobAccepted message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        JobAcceptedEncoder encoder =
                new JobAcceptedEncoder().wrapAndApplyHeader(buffer, 0, header).maxWaitS(message.maxWaitS());
        JobAcceptedEncoder.ItemsEncoder items =
                encoder.itemsCount(message.items().size());
        for (JobItemData item : message.items()) {
            items.next().tokens(item.tokens());
            putText(item.instance(), items::putInstance);
            putText(item.path(), items::putPath);
            putBytes(item.headers(), items::putHeaders);
            putBytes(item.body(), items::putBody);
        }
        putText(message.job(), encoder::putJob);
        putText(message.route(), encoder::putRoute);
        putText(message.host(), encoder::putHost);
        putText(message.tenant(), encoder::putTenant);
        return encoder.limit();
    }

    private static JobAccepted readJobAccepted(DirectBuffer buffer, MessageHeaderDecoder header) {
        JobAcceptedDecoder decoder = new JobAcceptedDecoder().wrapAndApplyHeader(buffer, 0, header);
        int maxWaitS = decoder.maxWaitS();
        List<JobItemData> items = new ArrayList<>();
        for (JobAcceptedDecoder.ItemsDecoder row : decoder.items()) {
            items.add(readItem(row));
        }
        String job = text(decoder.jobLength(), decoder::getJob);
        String route = text(decoder.routeLength(), decoder::getRoute);
        String host = text(decoder.hostLength(), decoder::getHost);
        String tenant = text(decoder.tenantLength(), decoder::getTenant);
        return new JobAccepted(job, route, host, tenant, maxWaitS, items);
    }

    private static JobItemData readItem(JobAcceptedDecoder.ItemsDecoder row) {
        long tokens = row.tokens();
        String instance = text(row.instanceLength(), row::getInstance);
        String path = text(row.pathLength(), row::getPath);
        byte[] headers = bytes(row.headersLength(), row::getHeaders);
        byte[] body = bytes(row.bodyLength(), row::getBody);
        return new JobItemData(instance, path, tokens, headers, body);
    }

    private static int writeJobListed(JobListed message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        JobListedEncoder encoder = new JobListedEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .item(message.item())
                .state((short) message.stateCode());
        putText(message.job(), encoder::putJob);
        putBytes(message.text(), encoder::putText);
        return encoder.limit();
    }

    private static JobListed readJobListed(DirectBuffer buffer, MessageHeaderDecoder header) {
        JobListedDecoder decoder = new JobListedDecoder().wrapAndApplyHeader(buffer, 0, header);
        int item = decoder.item();
        int state = decoder.state();
        String job = text(decoder.jobLength(), decoder::getJob);
        return new JobListed(job, item, state, bytes(decoder.textLength(), decoder::getText));
    }

    private static int writeJobFailed(JobFailed message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        JobFailedEncoder encoder =
                new JobFailedEncoder().wrapAndApplyHeader(buffer, 0, header).item(message.item());
        putText(message.job(), encoder::putJob);
        return encoder.limit();
    }

    private static JobFailed readJobFailed(DirectBuffer buffer, MessageHeaderDecoder header) {
        JobFailedDecoder decoder = new JobFailedDecoder().wrapAndApplyHeader(buffer, 0, header);
        int item = decoder.item();
        return new JobFailed(text(decoder.jobLength(), decoder::getJob), item);
    }

    private static int writeJobMark(JobMark message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        JobMarkEncoder encoder =
                new JobMarkEncoder().wrapAndApplyHeader(buffer, 0, header).kind((short) message.kindCode());
        putText(message.job(), encoder::putJob);
        return encoder.limit();
    }

    private static JobMark readJobMark(DirectBuffer buffer, MessageHeaderDecoder header) {
        JobMarkDecoder decoder = new JobMarkDecoder().wrapAndApplyHeader(buffer, 0, header);
        int kind = decoder.kind();
        return new JobMark(text(decoder.jobLength(), decoder::getJob), kind);
    }
}
