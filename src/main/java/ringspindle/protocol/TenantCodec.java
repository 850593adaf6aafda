package ringspindle.protocol;

import static ringspindle.protocol.Fields.putText;
import static ringspindle.protocol.Fields.text;

import java.util.ArrayList;
import java.util.List;
import org.agrona.DirectBuffer;
import org.agrona.MutableDirectBuffer;
import ringspindle.protocol.TenantMessage.QuotaAsk;
import ringspindle.protocol.TenantMessage.QuotaGrant;
import ringspindle.protocol.TenantMessage.QuotaLeave;
import ringspindle.protocol.TenantMessage.QuotaNeed;
import ringspindle.protocol.TenantMessage.UsageReport;
import ringspindle.protocol.TenantMessage.UsageRow;
import ringspindle.sbe.MessageHeaderDecoder;
import ringspindle.sbe.MessageHeaderEncoder;
import ringspindle.sbe.QuotaAskDecoder;
import ringspindle.sbe.QuotaAskEncoder;
import ringspindle.sbe.QuotaGrantDecoder;
import ringspindle.sbe.QuotaGrantEncoder;
import ringspindle.sbe.UsageReportDecoder;
import ringspindle.sbe.UsageReportEncoder;

/** Messages about tenants. */
final class TenantCodec {
    static final List<MessageTemplate<?>> TEMPLATES = List.of(
            new MessageTemplate<>(
                    QuotaAskDecoder.TEMPLATE_ID,
                    QuotaAskDecoder.BLOCK_LENGTH,
                    QuotaAsk.class,
                    TenantCodec::writeQuotaAsk,
                    TenantCodec::readQuotaAsk),
            new MessageTemplate<>(
                    QuotaGrantDecoder.TEMPLATE_ID,
                    QuotaGrantDecoder.BLOCK_LENGTH,
                    QuotaGrant.class,
                    TenantCodec::writeQuotaGrant,
                    TenantCodec::readQuotaGrant),
            new MessageTemplate<>(
                    UsageReportDecoder.TEMPLATE_ID,
                    UsageReportDecoder.BLOCK_LENGTH,
                    UsageReport.class,
                    TenantCodec::writeUsageReport,
                    TenantCodec::readUsageReport));

    private TenantCodec() {}

    private static int writeQuotaAsk(QuotaAsk message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        QuotaAskEncoder encoder = new QuotaAskEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .origin(message.origin().bits())
                .seq(message.seq());
        QuotaAskEncoder.RowsEncoder rows = encoder.rowsCount(message.rows().size());
        for (QuotaNeed row : message.rows()) {
            rows.next().need(row.need()).extra(row.extra());
            putText(row.tenant(), rows::putTenant);
        }
        return encoder.limit();
    }

    private static QuotaAsk readQuotaAsk(DirectBuffer buffer, MessageHeaderDecoder header) {
        QuotaAskDecoder decoder = new QuotaAskDecoder().wrapAndApplyHeader(buffer, 0, header);
        NodeId origin = new NodeId(decoder.origin());
        long seq = decoder.seq();
        List<QuotaNeed> rows = new ArrayList<>();
        for (QuotaAskDecoder.RowsDecoder row : decoder.rows()) {
            int need = row.need();
            int extra = row.extra();
            String tenant = text(row.tenantLength(), row::getTenant);
            rows.add(new QuotaNeed(tenant, need, extra));
        }
        return new QuotaAsk(origin, seq, rows);
    }

    private static int writeQuotaGrant(QuotaGrant message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        QuotaGrantEncoder encoder = new QuotaGrantEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .origin(message.origin().bits())
                .seq(message.seq());
        QuotaGrantEncoder.RowsEncoder rows = encoder.rowsCount(message.rows().size());
        for (QuotaLeave row : message.rows()) {
            rows.next().granted(row.granted()).waitMs(row.waitMs());
            putText(row.tenant(), rows::putTenant);
        }
        return encoder.limit();
    }

    private static QuotaGrant readQuotaGrant(DirectBuffer buffer, MessageHeaderDecoder header) {
        QuotaGrantDecoder decoder = new QuotaGrantDecoder().wrapAndApplyHeader(buffer, 0, header);
        NodeId origin = new NodeId(decoder.origin());
        long seq = decoder.seq();
        List<QuotaLeave> rows = new ArrayList<>();
        for (QuotaGrantDecoder.RowsDecoder row : decoder.rows()) {
            int granted = row.granted();
            int waitMs = row.waitMs();
            String tenant = text(row.tenantLength(), row::getTenant);
            rows.add(new QuotaLeave(tenant, granted, waitMs));
        }
        return new QuotaGrant(origin, seq, rows);
    }

    private static int writeUsageReport(UsageReport message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        UsageReportEncoder encoder = new UsageReportEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .origin(message.origin().bits())
                .life(message.life());
        UsageReportEncoder.RowsEncoder rows = encoder.rowsCount(message.rows().size());
        for (UsageRow row : message.rows()) {
            rows.next().window(row.window()).requests(row.requests());
            putText(row.tenant(), rows::putTenant);
        }
        return encoder.limit();
    }

    private static UsageReport readUsageReport(DirectBuffer buffer, MessageHeaderDecoder header) {
        UsageReportDecoder decoder = new UsageReportDecoder().wrapAndApplyHeader(buffer, 0, header);
        NodeId origin = new NodeId(decoder.origin());
        long life = decoder.life();
        List<UsageRow> rows = new ArrayList<>();
        for (UsageReportDecoder.RowsDecoder row : decoder.rows()) {
            long window = row.window();
            long requests = row.requests();
            String tenant = text(row.tenantLength(), row::getTenant);
            rows.add(new UsageRow(window, tenant, requests));
        }
        return new UsageReport(origin, life, rows);
    }
}
