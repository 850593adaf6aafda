package ringspindle.protocol;

import static ringspindle.protocol.Fields.putText;
import static ringspindle.protocol.Fields.text;

import java.util.ArrayList;
import java.util.List;
import org.agrona.DirectBuffer;
import org.agrona.MutableDirectBuffer;
import ringspindle.protocol.Message.EngineLoad;
import ringspindle.protocol.Message.HeartbeatRow;
import ringspindle.protocol.Message.LedgerReport;
import ringspindle.protocol.Message.LedgerRow;
import ringspindle.protocol.Message.Load;
import ringspindle.protocol.Message.OutcomeRow;
import ringspindle.protocol.Message.Outcomes;
import ringspindle.protocol.Message.RegionLoad;
import ringspindle.protocol.Message.Report;
import ringspindle.protocol.Message.SourceRow;
import ringspindle.protocol.Message.TallyRow;
import ringspindle.sbe.LedgerReportDecoder;
import ringspindle.sbe.LedgerReportEncoder;
import ringspindle.sbe.LoadDecoder;
import ringspindle.sbe.LoadEncoder;
import ringspindle.sbe.MessageHeaderDecoder;
import ringspindle.sbe.MessageHeaderEncoder;
import ringspindle.sbe.OutcomesDecoder;
import ringspindle.sbe.OutcomesEncoder;
import ringspindle.sbe.ReportDecoder;
import ringspindle.sbe.ReportEncoder;

/** Messages of load and of counts: reports of sources, sums on their way back, and ledgers of requests. */
final class TelemetryCodec {
    static final List<MessageTemplate<?>> TEMPLATES = List.of(
            new MessageTemplate<>(
                    ReportDecoder.TEMPLATE_ID,
                    ReportDecoder.BLOCK_LENGTH,
                    Report.class,
                    TelemetryCodec::writeReport,
                    TelemetryCodec::readReport),
            new MessageTemplate<>(
                    LedgerReportDecoder.TEMPLATE_ID,
                    LedgerReportDecoder.BLOCK_LENGTH,
                    LedgerReport.class,
                    TelemetryCodec::writeLedgerReport,
                    TelemetryCodec::readLedgerReport),
            new MessageTemplate<>(
                    OutcomesDecoder.TEMPLATE_ID,
                    OutcomesDecoder.BLOCK_LENGTH,
                    Outcomes.class,
                    TelemetryCodec::writeOutcomes,
                    TelemetryCodec::readOutcomes),
            new MessageTemplate<>(
                    LoadDecoder.TEMPLATE_ID,
                    LoadDecoder.BLOCK_LENGTH,
                    Load.class,
                    TelemetryCodec::writeLoad,
                    TelemetryCodec::readLoad));

    private TelemetryCodec() {}

    private static int writeReport(Report message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        ReportEncoder encoder = new ReportEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .life(message.life())
                .seq(message.seq());
        ReportEncoder.TalliesEncoder tallies =
                encoder.talliesCount(message.tallies().size());
        message.tallies().forEach(tally -> writeTally(tally, tallies.next()));
        ReportEncoder.HeartbeatsEncoder heartbeats =
                encoder.heartbeatsCount(message.heartbeats().size());
        message.heartbeats()
                .forEach(row -> heartbeats.next().engine(row.engine()).agoMs(row.agoMs()));
        ReportEncoder.SourcesEncoder sources =
                encoder.sourcesCount(message.sources().size());
        message.sources().forEach(row -> sources.next()
                .node(row.node().bits())
                .sourceLife(row.life())
                .sourceSeq(row.seq()));
        return encoder.limit();
    }

    private static void writeTally(TallyRow tally, ReportEncoder.TalliesEncoder row) {
        row.engine(tally.engine())
                .kind((short) tally.kind())
                .answered(tally.answered())
                .notRun(tally.notRun())
                .failed(tally.failed())
                .running(tally.running())
                .tokens(tally.tokens())
                .b0(tally.b0())
                .b1(tally.b1())
                .b2(tally.b2())
                .b3(tally.b3())
                .b4(tally.b4())
                .b5(tally.b5());
    }

    private static Report readReport(DirectBuffer buffer, MessageHeaderDecoder header) {
        ReportDecoder decoder = new ReportDecoder().wrapAndApplyHeader(buffer, 0, header);
        List<TallyRow> tallies = new ArrayList<>();
        for (ReportDecoder.TalliesDecoder row : decoder.tallies()) {
            tallies.add(readTally(row));
        }
        List<HeartbeatRow> heartbeats = new ArrayList<>();
        for (ReportDecoder.HeartbeatsDecoder row : decoder.heartbeats()) {
            heartbeats.add(new HeartbeatRow(row.engine(), row.agoMs()));
        }
        List<SourceRow> sources = new ArrayList<>();
        for (ReportDecoder.SourcesDecoder row : decoder.sources()) {
            sources.add(new SourceRow(new NodeId(row.node()), row.sourceLife(), row.sourceSeq()));
        }
        return new Report(decoder.life(), decoder.seq(), tallies, heartbeats, sources);
    }

    private static TallyRow readTally(ReportDecoder.TalliesDecoder row) {
        return new TallyRow(
                row.engine(),
                row.kind(),
                row.answered(),
                row.notRun(),
                row.failed(),
                row.running(),
                row.tokens(),
                row.b0(),
                row.b1(),
                row.b2(),
                row.b3(),
                row.b4(),
                row.b5());
    }

    private static int writeLedgerReport(
            LedgerReport message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        LedgerReportEncoder encoder = new LedgerReportEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .life(message.life())
                .seq(message.seq())
                .revision(message.revision())
                .digest(message.digest())
                .endedTwice(message.endedTwice());
        LedgerReportEncoder.RowsEncoder rows = encoder.rowsCount(message.rows().size());
        message.rows().forEach(row -> writeLedgerRow(row, rows.next()));
        return encoder.limit();
    }

    private static void writeLedgerRow(LedgerRow ledger, LedgerReportEncoder.RowsEncoder row) {
        row.revision(ledger.revision())
                .admitted(ledger.admitted())
                .inProgress((int) ledger.inProgress())
                .completed(ledger.completed())
                .clientGone(ledger.clientGone())
                .overdue(ledger.overdue())
                .nodeEnds((int) ledger.nodeEnds())
                .givenUp(ledger.givenUp())
                .sent(ledger.sent())
                .notRun(ledger.notRun())
                .mayHaveRun(ledger.mayHaveRun())
                .resumed(ledger.resumed())
                .runTwice((int) ledger.runTwice());
        putText(ledger.cls(), row::putCls);
    }

    private static LedgerReport readLedgerReport(DirectBuffer buffer, MessageHeaderDecoder header) {
        LedgerReportDecoder decoder = new LedgerReportDecoder().wrapAndApplyHeader(buffer, 0, header);
        List<LedgerRow> rows = new ArrayList<>();
        for (LedgerReportDecoder.RowsDecoder row : decoder.rows()) {
            rows.add(readLedgerRow(row));
        }
        return new LedgerReport(
                decoder.life(), decoder.seq(), decoder.revision(), decoder.digest(), decoder.endedTwice(), rows);
    }

    private static LedgerRow readLedgerRow(LedgerReportDecoder.RowsDecoder row) {
        return new LedgerRow(
                row.revision(),
                row.admitted(),
                row.inProgress(),
                row.completed(),
                row.clientGone(),
                row.overdue(),
                row.nodeEnds(),
                row.givenUp(),
                row.sent(),
                row.notRun(),
                row.mayHaveRun(),
                row.resumed(),
                row.runTwice(),
                text(row.clsLength(), row::getCls));
    }

    private static int writeOutcomes(Outcomes message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        OutcomesEncoder encoder = new OutcomesEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .life(message.life())
                .seq(message.seq())
                .experiment(message.experiment());
        OutcomesEncoder.SourcesEncoder sources =
                encoder.sourcesCount(message.sources().size());
        message.sources().forEach(row -> sources.next()
                .node(row.node().bits())
                .sourceLife(row.life())
                .sourceSeq(row.seq()));
        OutcomesEncoder.RowsEncoder rows = encoder.rowsCount(message.rows().size());
        message.rows().forEach(row -> rows.next()
                .side((short) row.side())
                .route((short) row.route())
                .sessions((short) row.group())
                .requests(row.requests())
                .bad(row.bad())
                .use(row.use()));
        putText(message.region(), encoder::putRegion);
        return encoder.limit();
    }

    private static Outcomes readOutcomes(DirectBuffer buffer, MessageHeaderDecoder header) {
        OutcomesDecoder decoder = new OutcomesDecoder().wrapAndApplyHeader(buffer, 0, header);
        List<SourceRow> sources = new ArrayList<>();
        for (OutcomesDecoder.SourcesDecoder row : decoder.sources()) {
            sources.add(new SourceRow(new NodeId(row.node()), row.sourceLife(), row.sourceSeq()));
        }
        List<OutcomeRow> rows = new ArrayList<>();
        for (OutcomesDecoder.RowsDecoder row : decoder.rows()) {
            rows.add(new OutcomeRow(row.side(), row.route(), row.sessions(), row.requests(), row.bad(), row.use()));
        }
        String region = text(decoder.regionLength(), decoder::getRegion);
        return new Outcomes(decoder.life(), decoder.seq(), decoder.experiment(), region, sources, rows);
    }

    private static int writeLoad(Load message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        LoadEncoder encoder = new LoadEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .life(message.life())
                .seq(message.seq());
        LoadEncoder.EnginesEncoder engines =
                encoder.enginesCount(message.engines().size());
        message.engines().forEach(load -> engines.next()
                .engine(load.engine())
                .answered(load.answered())
                .failed(load.failed())
                .running(load.running())
                .tokens(load.tokens()));
        LoadEncoder.RegionsEncoder regions =
                encoder.regionsCount(message.regions().size());
        message.regions().forEach(load -> writeRegion(load, regions.next()));
        return encoder.limit();
    }

    private static void writeRegion(RegionLoad load, LoadEncoder.RegionsEncoder row) {
        row.engines(load.engines())
                .room(load.room())
                .running(load.running())
                .answered(load.answered())
                .failed(load.failed());
        putText(load.region(), row::putRegion);
        putText(load.service(), row::putService);
    }

    private static Load readLoad(DirectBuffer buffer, MessageHeaderDecoder header) {
        LoadDecoder decoder = new LoadDecoder().wrapAndApplyHeader(buffer, 0, header);
        List<EngineLoad> engines = new ArrayList<>();
        for (LoadDecoder.EnginesDecoder row : decoder.engines()) {
            engines.add(new EngineLoad(row.engine(), row.answered(), row.failed(), row.running(), row.tokens()));
        }
        List<RegionLoad> regions = new ArrayList<>();
        for (LoadDecoder.RegionsDecoder row : decoder.regions()) {
            regions.add(readRegion(row));
        }
        return new Load(decoder.life(), decoder.seq(), engines, regions);
    }

    private static RegionLoad readRegion(LoadDecoder.RegionsDecoder row) {
        int engines = row.engines();
        int room = row.room();
        int running = row.running();
        int answered = row.answered();
        int failed = row.failed();
        String region = text(row.regionLength(), row::getRegion);
        String service = text(row.serviceLength(), row::getService);
        return new RegionLoad(region, service, engines, room, running, answered, failed);
    }
}
