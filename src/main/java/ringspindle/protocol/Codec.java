package ringspindle.protocol;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.agrona.DirectBuffer;
import org.agrona.ExpandableArrayBuffer;
import org.agrona.MutableDirectBuffer;
import org.agrona.concurrent.UnsafeBuffer;
import ringspindle.protocol.Message.Accept;
import ringspindle.protocol.Message.Accepted;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.Confirm;
import ringspindle.protocol.Message.Confirmed;
import ringspindle.protocol.Message.Decided;
import ringspindle.protocol.Message.Digest;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.Message.EngineLoad;
import ringspindle.protocol.Message.Entry;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.Heartbeat;
import ringspindle.protocol.Message.HeartbeatRow;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.Message.Install;
import ringspindle.protocol.Message.Lease;
import ringspindle.protocol.Message.LedgerReport;
import ringspindle.protocol.Message.LedgerRow;
import ringspindle.protocol.Message.Load;
import ringspindle.protocol.Message.Mark;
import ringspindle.protocol.Message.News;
import ringspindle.protocol.Message.Op;
import ringspindle.protocol.Message.Pledge;
import ringspindle.protocol.Message.Position;
import ringspindle.protocol.Message.Prepare;
import ringspindle.protocol.Message.RegionLoad;
import ringspindle.protocol.Message.Relearn;
import ringspindle.protocol.Message.Relearned;
import ringspindle.protocol.Message.Reply;
import ringspindle.protocol.Message.Report;
import ringspindle.protocol.Message.SourceRow;
import ringspindle.protocol.Message.State;
import ringspindle.protocol.Message.Synced;
import ringspindle.protocol.Message.TallyRow;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.Message.Vote;
import ringspindle.sbe.AcceptDecoder;
import ringspindle.sbe.AcceptEncoder;
import ringspindle.sbe.AcceptedDecoder;
import ringspindle.sbe.AcceptedEncoder;
import ringspindle.sbe.CallDecoder;
import ringspindle.sbe.CallEncoder;
import ringspindle.sbe.ConfirmDecoder;
import ringspindle.sbe.ConfirmEncoder;
import ringspindle.sbe.ConfirmedDecoder;
import ringspindle.sbe.ConfirmedEncoder;
import ringspindle.sbe.DecidedDecoder;
import ringspindle.sbe.DecidedEncoder;
import ringspindle.sbe.DigestDecoder;
import ringspindle.sbe.DigestEncoder;
import ringspindle.sbe.EngineDecoder;
import ringspindle.sbe.EngineEncoder;
import ringspindle.sbe.EntryDecoder;
import ringspindle.sbe.EntryEncoder;
import ringspindle.sbe.HeartbeatDecoder;
import ringspindle.sbe.HeartbeatEncoder;
import ringspindle.sbe.HelloDecoder;
import ringspindle.sbe.HelloEncoder;
import ringspindle.sbe.InstallDecoder;
import ringspindle.sbe.InstallEncoder;
import ringspindle.sbe.LeaseDecoder;
import ringspindle.sbe.LeaseEncoder;
import ringspindle.sbe.LedgerReportDecoder;
import ringspindle.sbe.LedgerReportEncoder;
import ringspindle.sbe.LoadDecoder;
import ringspindle.sbe.LoadEncoder;
import ringspindle.sbe.MessageHeaderDecoder;
import ringspindle.sbe.MessageHeaderEncoder;
import ringspindle.sbe.NewsDecoder;
import ringspindle.sbe.NewsEncoder;
import ringspindle.sbe.OpDecoder;
import ringspindle.sbe.OpEncoder;
import ringspindle.sbe.PledgeDecoder;
import ringspindle.sbe.PledgeEncoder;
import ringspindle.sbe.PrepareDecoder;
import ringspindle.sbe.PrepareEncoder;
import ringspindle.sbe.RelearnDecoder;
import ringspindle.sbe.RelearnEncoder;
import ringspindle.sbe.RelearnedDecoder;
import ringspindle.sbe.RelearnedEncoder;
import ringspindle.sbe.ReplyDecoder;
import ringspindle.sbe.ReplyEncoder;
import ringspindle.sbe.ReportDecoder;
import ringspindle.sbe.ReportEncoder;
import ringspindle.sbe.StateDecoder;
import ringspindle.sbe.StateEncoder;
import ringspindle.sbe.SyncedDecoder;
import ringspindle.sbe.SyncedEncoder;
import ringspindle.sbe.ViewDecoder;
import ringspindle.sbe.ViewEncoder;
import ringspindle.sbe.VoteDecoder;
import ringspindle.sbe.VoteEncoder;

/** Messages to SBE bytes and back. */
public final class Codec {
    private static final byte[] NONE = {};
    /** No part of a message is longer. */
    private static final int PART_MAX = 48 << 20;
    /** The length of each template's fixed part. */
    private static final Map<Integer, Integer> BLOCK_LENGTHS = Map.ofEntries(
            Map.entry(HelloDecoder.TEMPLATE_ID, HelloDecoder.BLOCK_LENGTH),
            Map.entry(HeartbeatDecoder.TEMPLATE_ID, HeartbeatDecoder.BLOCK_LENGTH),
            Map.entry(ViewDecoder.TEMPLATE_ID, ViewDecoder.BLOCK_LENGTH),
            Map.entry(PrepareDecoder.TEMPLATE_ID, PrepareDecoder.BLOCK_LENGTH),
            Map.entry(PledgeDecoder.TEMPLATE_ID, PledgeDecoder.BLOCK_LENGTH),
            Map.entry(AcceptDecoder.TEMPLATE_ID, AcceptDecoder.BLOCK_LENGTH),
            Map.entry(AcceptedDecoder.TEMPLATE_ID, AcceptedDecoder.BLOCK_LENGTH),
            Map.entry(DecidedDecoder.TEMPLATE_ID, DecidedDecoder.BLOCK_LENGTH),
            Map.entry(InstallDecoder.TEMPLATE_ID, InstallDecoder.BLOCK_LENGTH),
            Map.entry(EntryDecoder.TEMPLATE_ID, EntryDecoder.BLOCK_LENGTH),
            Map.entry(SyncedDecoder.TEMPLATE_ID, SyncedDecoder.BLOCK_LENGTH),
            Map.entry(ConfirmDecoder.TEMPLATE_ID, ConfirmDecoder.BLOCK_LENGTH),
            Map.entry(ConfirmedDecoder.TEMPLATE_ID, ConfirmedDecoder.BLOCK_LENGTH),
            Map.entry(RelearnDecoder.TEMPLATE_ID, RelearnDecoder.BLOCK_LENGTH),
            Map.entry(RelearnedDecoder.TEMPLATE_ID, RelearnedDecoder.BLOCK_LENGTH),
            Map.entry(CallDecoder.TEMPLATE_ID, CallDecoder.BLOCK_LENGTH),
            Map.entry(ReplyDecoder.TEMPLATE_ID, ReplyDecoder.BLOCK_LENGTH),
            Map.entry(NewsDecoder.TEMPLATE_ID, NewsDecoder.BLOCK_LENGTH),
            Map.entry(DigestDecoder.TEMPLATE_ID, DigestDecoder.BLOCK_LENGTH),
            Map.entry(LeaseDecoder.TEMPLATE_ID, LeaseDecoder.BLOCK_LENGTH),
            Map.entry(OpDecoder.TEMPLATE_ID, OpDecoder.BLOCK_LENGTH),
            Map.entry(StateDecoder.TEMPLATE_ID, StateDecoder.BLOCK_LENGTH),
            Map.entry(VoteDecoder.TEMPLATE_ID, VoteDecoder.BLOCK_LENGTH),
            Map.entry(EngineDecoder.TEMPLATE_ID, EngineDecoder.BLOCK_LENGTH),
            Map.entry(ReportDecoder.TEMPLATE_ID, ReportDecoder.BLOCK_LENGTH),
            Map.entry(LedgerReportDecoder.TEMPLATE_ID, LedgerReportDecoder.BLOCK_LENGTH),
            Map.entry(LoadDecoder.TEMPLATE_ID, LoadDecoder.BLOCK_LENGTH));

    private static final int NOT_OF_THIS_KIND = -1;

    private Codec() {}

    /** Encodes; {@code Codec.decode(Codec.encode(m)).equals(m)} for messages without arrays. */
    public static byte[] encode(Message m) {
        MutableDirectBuffer b = new ExpandableArrayBuffer(512);
        MessageHeaderEncoder h = new MessageHeaderEncoder();
        int end = encodeSession(m, b, h);
        if (end == NOT_OF_THIS_KIND) {
            end = encodeAgreement(m, b, h);
        }
        if (end == NOT_OF_THIS_KIND) {
            end = encodeReplication(m, b, h);
        }
        if (end == NOT_OF_THIS_KIND) {
            throw new IllegalArgumentException("unknown message " + m.getClass());
        }
        byte[] out = new byte[end];
        b.getBytes(0, out);
        return out;
    }

    /** Messages of sessions, of facts and of what is reported. */
    private static int encodeSession(Message m, MutableDirectBuffer b, MessageHeaderEncoder h) {
        if (m instanceof Hello x) {
            HelloEncoder e = new HelloEncoder()
                    .wrapAndApplyHeader(b, 0, h)
                    .node(x.node().bits())
                    .life(x.life())
                    .kind((short) x.kind())
                    .front(x.front());
            put(x.name(), e::putName);
            put(x.zone(), e::putZone);
            put(x.region(), e::putRegion);
            return e.limit();
        }
        if (m instanceof Heartbeat x) {
            HeartbeatEncoder e = new HeartbeatEncoder()
                    .wrapAndApplyHeader(b, 0, h)
                    .n(x.n())
                    .echo(x.echo())
                    .flags((short) x.flags())
                    .epoch(x.epoch())
                    .seq(x.seq())
                    .digest(x.digest());
            HeartbeatEncoder.HeardEncoder g = e.heardCount(x.heard().size());
            x.heard().forEach(n -> g.next().node(n.bits()));
            return e.limit();
        }
        if (m instanceof News x) {
            NewsEncoder e = new NewsEncoder().wrapAndApplyHeader(b, 0, h).full(bit(x.full()));
            NewsEncoder.ItemsEncoder g = e.itemsCount(x.items().size());
            for (Fact i : x.items()) {
                NewsEncoder.ItemsEncoder n =
                        g.next().kind((short) i.kind()).life(i.life()).version(i.version());
                put(i.key(), n::putKey);
                put(i.value(), n::putValue);
            }
            return e.limit();
        }
        if (m instanceof Digest x) {
            DigestEncoder e = new DigestEncoder().wrapAndApplyHeader(b, 0, h);
            DigestEncoder.RangesEncoder g = e.rangesCount(x.ranges().length);
            for (long r : x.ranges()) {
                g.next().hash(r);
            }
            return e.limit();
        }
        if (m instanceof Lease x) {
            return new LeaseEncoder()
                    .wrapAndApplyHeader(b, 0, h)
                    .epoch(x.epoch())
                    .nodes(x.nodes())
                    .ttlMs(x.ttlMs())
                    .limit();
        }
        if (m instanceof Engine x) {
            EngineEncoder e = new EngineEncoder()
                    .wrapAndApplyHeader(b, 0, h)
                    .capacity(x.capacity())
                    .coldMs(x.coldMs())
                    .draining(bit(x.draining()))
                    .remainingMs(x.remainingMs())
                    .weights(x.weights());
            put(x.service(), e::putService);
            put(x.address(), e::putAddress);
            put(x.zone(), e::putZone);
            put(x.revision(), e::putRevision);
            return e.limit();
        }
        if (m instanceof Report x) {
            ReportEncoder e = new ReportEncoder()
                    .wrapAndApplyHeader(b, 0, h)
                    .life(x.life())
                    .seq(x.seq());
            ReportEncoder.TalliesEncoder t = e.talliesCount(x.tallies().size());
            x.tallies().forEach(r -> t.next()
                    .engine(r.engine())
                    .kind((short) r.kind())
                    .answered(r.answered())
                    .notRun(r.notRun())
                    .failed(r.failed())
                    .running(r.running())
                    .tokens(r.tokens())
                    .b0(r.b0())
                    .b1(r.b1())
                    .b2(r.b2())
                    .b3(r.b3())
                    .b4(r.b4())
                    .b5(r.b5()));
            ReportEncoder.HeartbeatsEncoder g = e.heartbeatsCount(x.heartbeats().size());
            x.heartbeats().forEach(r -> g.next().engine(r.engine()).agoMs(r.agoMs()));
            ReportEncoder.SourcesEncoder o = e.sourcesCount(x.sources().size());
            x.sources()
                    .forEach(r ->
                            o.next().node(r.node().bits()).sourceLife(r.life()).sourceSeq(r.seq()));
            return e.limit();
        }
        if (m instanceof LedgerReport x) {
            LedgerReportEncoder e = new LedgerReportEncoder()
                    .wrapAndApplyHeader(b, 0, h)
                    .life(x.life())
                    .seq(x.seq())
                    .revision(x.revision())
                    .digest(x.digest())
                    .endedTwice(x.endedTwice());
            LedgerReportEncoder.RowsEncoder g = e.rowsCount(x.rows().size());
            for (LedgerRow r : x.rows()) {
                g.next()
                        .revision(r.revision())
                        .admitted(r.admitted())
                        .inProgress((int) r.inProgress())
                        .completed(r.completed())
                        .clientGone(r.clientGone())
                        .overdue(r.overdue())
                        .nodeEnds((int) r.nodeEnds())
                        .givenUp(r.givenUp())
                        .sent(r.sent())
                        .notRun(r.notRun())
                        .mayHaveRun(r.mayHaveRun())
                        .resumed(r.resumed())
                        .runTwice((int) r.runTwice());
                put(r.cls(), g::putCls);
            }
            return e.limit();
        }
        if (m instanceof Load x) {
            LoadEncoder e =
                    new LoadEncoder().wrapAndApplyHeader(b, 0, h).life(x.life()).seq(x.seq());
            LoadEncoder.EnginesEncoder t = e.enginesCount(x.engines().size());
            x.engines().forEach(r -> t.next()
                    .engine(r.engine())
                    .answered(r.answered())
                    .failed(r.failed())
                    .running(r.running())
                    .tokens(r.tokens()));
            LoadEncoder.RegionsEncoder g = e.regionsCount(x.regions().size());
            for (RegionLoad r : x.regions()) {
                g.next()
                        .engines(r.engines())
                        .room(r.room())
                        .running(r.running())
                        .answered(r.answered())
                        .failed(r.failed());
                put(r.region(), g::putRegion);
                put(r.service(), g::putService);
            }
            return e.limit();
        }
        return NOT_OF_THIS_KIND;
    }

    /** Messages of the agreement on views. */
    private static int encodeAgreement(Message m, MutableDirectBuffer b, MessageHeaderEncoder h) {
        if (m instanceof View x) {
            ViewEncoder e = new ViewEncoder()
                    .wrapAndApplyHeader(b, 0, h)
                    .epoch(x.epoch())
                    .baseLineage(x.base().lineage())
                    .baseSeq(x.base().seq());
            ViewEncoder.VotersEncoder v = e.votersCount(x.voters().size());
            x.voters().forEach(n -> v.next().node(n.bits()));
            ViewEncoder.ChainEncoder c = e.chainCount(x.chain().size());
            x.chain().forEach(n -> c.next().node(n.bits()));
            return e.limit();
        }
        if (m instanceof Prepare x) {
            PrepareEncoder e = new PrepareEncoder()
                    .wrapAndApplyHeader(b, 0, h)
                    .epoch(x.epoch())
                    .ballot(x.ballot());
            put(x.view(), e::putView);
            return e.limit();
        }
        if (m instanceof Pledge x) {
            PledgeEncoder e = new PledgeEncoder()
                    .wrapAndApplyHeader(b, 0, h)
                    .epoch(x.epoch())
                    .ballot(x.ballot())
                    .granted(bit(x.granted()))
                    .promised(x.promised())
                    .acceptedBallot(x.acceptedBallot())
                    .lineage(x.lineage())
                    .seq(x.seq());
            put(x.accepted(), e::putAccepted);
            put(x.view(), e::putView);
            return e.limit();
        }
        if (m instanceof Accept x) {
            AcceptEncoder e = new AcceptEncoder()
                    .wrapAndApplyHeader(b, 0, h)
                    .epoch(x.epoch())
                    .ballot(x.ballot());
            put(x.view(), e::putView);
            return e.limit();
        }
        if (m instanceof Accepted x) {
            return new AcceptedEncoder()
                    .wrapAndApplyHeader(b, 0, h)
                    .epoch(x.epoch())
                    .ballot(x.ballot())
                    .granted(bit(x.granted()))
                    .promised(x.promised())
                    .limit();
        }
        if (m instanceof Decided x) {
            DecidedEncoder e = new DecidedEncoder().wrapAndApplyHeader(b, 0, h);
            put(x.view(), e::putView);
            return e.limit();
        }
        if (m instanceof Relearn x) {
            return new RelearnEncoder().wrapAndApplyHeader(b, 0, h).id(x.id()).limit();
        }
        if (m instanceof Relearned x) {
            RelearnedEncoder e = new RelearnedEncoder()
                    .wrapAndApplyHeader(b, 0, h)
                    .id(x.id())
                    .promisedEpoch(x.promisedEpoch())
                    .promised(x.promised())
                    .acceptedBallot(x.acceptedBallot());
            put(x.accepted(), e::putAccepted);
            put(x.view(), e::putView);
            return e.limit();
        }
        if (m instanceof Vote x) {
            VoteEncoder e = new VoteEncoder()
                    .wrapAndApplyHeader(b, 0, h)
                    .promisedEpoch(x.promisedEpoch())
                    .promised(x.promised())
                    .acceptedBallot(x.acceptedBallot());
            put(x.accepted(), e::putAccepted);
            put(x.view(), e::putView);
            return e.limit();
        }
        return NOT_OF_THIS_KIND;
    }

    /** Messages of the chain, and of orders on their way. */
    private static int encodeReplication(Message m, MutableDirectBuffer b, MessageHeaderEncoder h) {
        if (m instanceof Install x) {
            InstallEncoder e = new InstallEncoder()
                    .wrapAndApplyHeader(b, 0, h)
                    .epoch(x.epoch())
                    .seq(x.seq());
            put(x.image(), e::putImage);
            return e.limit();
        }
        if (m instanceof Entry x) {
            EntryEncoder e = new EntryEncoder()
                    .wrapAndApplyHeader(b, 0, h)
                    .epoch(x.epoch())
                    .seq(x.seq());
            put(x.op(), e::putOp);
            return e.limit();
        }
        if (m instanceof Synced x) {
            return new SyncedEncoder()
                    .wrapAndApplyHeader(b, 0, h)
                    .epoch(x.epoch())
                    .seq(x.seq())
                    .limit();
        }
        if (m instanceof Confirm x) {
            return new ConfirmEncoder()
                    .wrapAndApplyHeader(b, 0, h)
                    .epoch(x.epoch())
                    .id(x.id())
                    .limit();
        }
        if (m instanceof Confirmed x) {
            return new ConfirmedEncoder()
                    .wrapAndApplyHeader(b, 0, h)
                    .epoch(x.epoch())
                    .id(x.id())
                    .ok(bit(x.ok()))
                    .limit();
        }
        if (m instanceof Call x) {
            CallEncoder e = new CallEncoder()
                    .wrapAndApplyHeader(b, 0, h)
                    .id(x.id())
                    .kind((short) x.kind())
                    .base(x.base());
            put(x.arg(), e::putArg);
            put(x.body(), e::putBody);
            return e.limit();
        }
        if (m instanceof Reply x) {
            ReplyEncoder e =
                    new ReplyEncoder().wrapAndApplyHeader(b, 0, h).id(x.id()).outcome((short) x.outcome());
            put(x.body(), e::putBody);
            return e.limit();
        }
        if (m instanceof Op x) {
            OpEncoder e = new OpEncoder()
                    .wrapAndApplyHeader(b, 0, h)
                    .kind((short) x.kind())
                    .base(x.base())
                    .revision(x.revision())
                    .digest(x.digest());
            put(x.arg(), e::putArg);
            put(x.body(), e::putBody);
            return e.limit();
        }
        if (m instanceof State x) {
            StateEncoder e = new StateEncoder()
                    .wrapAndApplyHeader(b, 0, h)
                    .lineage(x.lineage())
                    .seq(x.seq())
                    .revision(x.revision());
            StateEncoder.PastEncoder p = e.pastCount(x.past().size());
            x.past().forEach(v -> p.next().revision(v[0]).digest(v[1]));
            StateEncoder.MarksEncoder g = e.marksCount(x.marks().size());
            for (Mark i : x.marks()) {
                StateEncoder.MarksEncoder n = g.next().kind((short) i.kind()).version(i.version());
                put(i.key(), n::putKey);
                put(i.value(), n::putValue);
            }
            put(x.config(), e::putConfig);
            return e.limit();
        }
        return NOT_OF_THIS_KIND;
    }

    /** The fixed part of a view as the first version of the schema wrote it: its epoch alone. */
    private static final int VIEW_WITHOUT_BASE_LENGTH = Long.BYTES;

    /** Decodes what {@link #encode} wrote, also under an earlier version of the schema; throws {@link FrameException} on anything else. */
    public static Message decode(byte[] bytes) {
        try {
            return read(bytes);
        } catch (IndexOutOfBoundsException | NegativeArraySizeException | ClassCastException e) {
            throw new FrameException(FrameException.Reason.GARBLED, "not a whole message", e);
        }
    }

    private static void check(MessageHeaderDecoder h) {
        if (h.schemaId() != MessageHeaderDecoder.SCHEMA_ID) {
            throw new FrameException(FrameException.Reason.FOREIGN_SCHEMA, "schema " + h.schemaId());
        }
        if (h.version() > MessageHeaderDecoder.SCHEMA_VERSION) {
            throw new FrameException(FrameException.Reason.FOREIGN_VERSION, "version " + h.version());
        }
        Integer length = BLOCK_LENGTHS.get(h.templateId());
        if (length == null) {
            throw new FrameException(FrameException.Reason.UNKNOWN_TEMPLATE, "template " + h.templateId());
        }
        boolean viewWithoutBase =
                h.templateId() == ViewDecoder.TEMPLATE_ID && h.version() < ViewDecoder.baseLineageSinceVersion();
        if (h.blockLength() != (viewWithoutBase ? VIEW_WITHOUT_BASE_LENGTH : length)) {
            throw new FrameException(FrameException.Reason.FOREIGN_VERSION, "fixed part of " + h.blockLength());
        }
    }

    private static Message read(byte[] bytes) {
        DirectBuffer b = new UnsafeBuffer(bytes);
        MessageHeaderDecoder h = new MessageHeaderDecoder().wrap(b, 0);
        check(h);
        switch (h.templateId()) {
            case HelloDecoder.TEMPLATE_ID: {
                HelloDecoder d = new HelloDecoder().wrapAndApplyHeader(b, 0, h);
                return new Hello(
                        new NodeId(d.node()),
                        d.life(),
                        d.kind(),
                        d.front(),
                        text(d.nameLength(), d::getName),
                        text(d.zoneLength(), d::getZone),
                        text(d.regionLength(), d::getRegion));
            }
            case HeartbeatDecoder.TEMPLATE_ID: {
                HeartbeatDecoder d = new HeartbeatDecoder().wrapAndApplyHeader(b, 0, h);
                List<NodeId> heard = new ArrayList<>();
                for (HeartbeatDecoder.HeardDecoder g : d.heard()) {
                    heard.add(new NodeId(g.node()));
                }
                return new Heartbeat(d.n(), d.echo(), d.flags(), d.epoch(), d.seq(), d.digest(), heard);
            }
            case ViewDecoder.TEMPLATE_ID: {
                ViewDecoder d = new ViewDecoder().wrapAndApplyHeader(b, 0, h);
                long lineage = d.baseLineage();
                Position base = lineage == ViewDecoder.baseLineageNullValue()
                        ? Position.NONE
                        : new Position(lineage, d.baseSeq());
                List<NodeId> voters = new ArrayList<>();
                for (ViewDecoder.VotersDecoder g : d.voters()) {
                    voters.add(new NodeId(g.node()));
                }
                List<NodeId> chain = new ArrayList<>();
                for (ViewDecoder.ChainDecoder g : d.chain()) {
                    chain.add(new NodeId(g.node()));
                }
                return new View(d.epoch(), voters, chain, base);
            }
            case PrepareDecoder.TEMPLATE_ID: {
                PrepareDecoder d = new PrepareDecoder().wrapAndApplyHeader(b, 0, h);
                return new Prepare(d.epoch(), d.ballot(), view(d.viewLength(), d::getView));
            }
            case PledgeDecoder.TEMPLATE_ID: {
                PledgeDecoder d = new PledgeDecoder().wrapAndApplyHeader(b, 0, h);
                return new Pledge(
                        d.epoch(),
                        d.ballot(),
                        d.granted() == 1,
                        d.promised(),
                        d.acceptedBallot(),
                        d.lineage(),
                        d.seq(),
                        view(d.acceptedLength(), d::getAccepted),
                        view(d.viewLength(), d::getView));
            }
            case AcceptDecoder.TEMPLATE_ID: {
                AcceptDecoder d = new AcceptDecoder().wrapAndApplyHeader(b, 0, h);
                return new Accept(d.epoch(), d.ballot(), view(d.viewLength(), d::getView));
            }
            case AcceptedDecoder.TEMPLATE_ID: {
                AcceptedDecoder d = new AcceptedDecoder().wrapAndApplyHeader(b, 0, h);
                return new Accepted(d.epoch(), d.ballot(), d.granted() == 1, d.promised());
            }
            case DecidedDecoder.TEMPLATE_ID: {
                DecidedDecoder d = new DecidedDecoder().wrapAndApplyHeader(b, 0, h);
                return new Decided(view(d.viewLength(), d::getView));
            }
            case InstallDecoder.TEMPLATE_ID: {
                InstallDecoder d = new InstallDecoder().wrapAndApplyHeader(b, 0, h);
                return new Install(d.epoch(), d.seq(), raw(d.imageLength(), d::getImage));
            }
            case EntryDecoder.TEMPLATE_ID: {
                EntryDecoder d = new EntryDecoder().wrapAndApplyHeader(b, 0, h);
                return new Entry(d.epoch(), d.seq(), raw(d.opLength(), d::getOp));
            }
            case SyncedDecoder.TEMPLATE_ID: {
                SyncedDecoder d = new SyncedDecoder().wrapAndApplyHeader(b, 0, h);
                return new Synced(d.epoch(), d.seq());
            }
            case ConfirmDecoder.TEMPLATE_ID: {
                ConfirmDecoder d = new ConfirmDecoder().wrapAndApplyHeader(b, 0, h);
                return new Confirm(d.epoch(), d.id());
            }
            case ConfirmedDecoder.TEMPLATE_ID: {
                ConfirmedDecoder d = new ConfirmedDecoder().wrapAndApplyHeader(b, 0, h);
                return new Confirmed(d.epoch(), d.id(), d.ok() == 1);
            }
            case RelearnDecoder.TEMPLATE_ID:
                return new Relearn(
                        new RelearnDecoder().wrapAndApplyHeader(b, 0, h).id());
            case RelearnedDecoder.TEMPLATE_ID: {
                RelearnedDecoder d = new RelearnedDecoder().wrapAndApplyHeader(b, 0, h);
                return new Relearned(
                        d.id(),
                        d.promisedEpoch(),
                        d.promised(),
                        d.acceptedBallot(),
                        view(d.acceptedLength(), d::getAccepted),
                        view(d.viewLength(), d::getView));
            }
            case CallDecoder.TEMPLATE_ID: {
                CallDecoder d = new CallDecoder().wrapAndApplyHeader(b, 0, h);
                return new Call(
                        d.id(), d.kind(), d.base(), text(d.argLength(), d::getArg), raw(d.bodyLength(), d::getBody));
            }
            case ReplyDecoder.TEMPLATE_ID: {
                ReplyDecoder d = new ReplyDecoder().wrapAndApplyHeader(b, 0, h);
                return new Reply(d.id(), d.outcome(), raw(d.bodyLength(), d::getBody));
            }
            case NewsDecoder.TEMPLATE_ID: {
                NewsDecoder d = new NewsDecoder().wrapAndApplyHeader(b, 0, h);
                boolean full = d.full() == 1;
                List<Fact> items = new ArrayList<>();
                for (NewsDecoder.ItemsDecoder g : d.items()) {
                    int kind = g.kind();
                    long life = g.life();
                    long version = g.version();
                    items.add(new Fact(
                            kind, text(g.keyLength(), g::getKey), life, version, raw(g.valueLength(), g::getValue)));
                }
                return new News(full, items);
            }
            case DigestDecoder.TEMPLATE_ID: {
                DigestDecoder d = new DigestDecoder().wrapAndApplyHeader(b, 0, h);
                DigestDecoder.RangesDecoder g = d.ranges();
                long[] ranges = new long[g.count()];
                for (int i = 0; i < ranges.length; i++) {
                    ranges[i] = g.next().hash();
                }
                return new Digest(ranges);
            }
            case LeaseDecoder.TEMPLATE_ID: {
                LeaseDecoder d = new LeaseDecoder().wrapAndApplyHeader(b, 0, h);
                return new Lease(d.epoch(), d.nodes(), d.ttlMs());
            }
            case OpDecoder.TEMPLATE_ID: {
                OpDecoder d = new OpDecoder().wrapAndApplyHeader(b, 0, h);
                return new Op(
                        d.kind(),
                        d.base(),
                        d.revision(),
                        d.digest(),
                        text(d.argLength(), d::getArg),
                        raw(d.bodyLength(), d::getBody));
            }
            case StateDecoder.TEMPLATE_ID: {
                StateDecoder d = new StateDecoder().wrapAndApplyHeader(b, 0, h);
                List<long[]> past = new ArrayList<>();
                for (StateDecoder.PastDecoder g : d.past()) {
                    past.add(new long[] {g.revision(), g.digest()});
                }
                List<Mark> marks = new ArrayList<>();
                for (StateDecoder.MarksDecoder g : d.marks()) {
                    int kind = g.kind();
                    long version = g.version();
                    marks.add(new Mark(
                            kind, text(g.keyLength(), g::getKey), version, text(g.valueLength(), g::getValue)));
                }
                return new State(d.lineage(), d.seq(), d.revision(), past, marks, raw(d.configLength(), d::getConfig));
            }
            case VoteDecoder.TEMPLATE_ID: {
                VoteDecoder d = new VoteDecoder().wrapAndApplyHeader(b, 0, h);
                return new Vote(
                        d.promisedEpoch(),
                        d.promised(),
                        d.acceptedBallot(),
                        view(d.acceptedLength(), d::getAccepted),
                        view(d.viewLength(), d::getView));
            }
            case EngineDecoder.TEMPLATE_ID: {
                EngineDecoder d = new EngineDecoder().wrapAndApplyHeader(b, 0, h);
                return new Engine(
                        d.capacity(),
                        d.coldMs(),
                        d.draining() == 1,
                        d.remainingMs(),
                        d.weights(),
                        text(d.serviceLength(), d::getService),
                        text(d.addressLength(), d::getAddress),
                        text(d.zoneLength(), d::getZone),
                        text(d.revisionLength(), d::getRevision));
            }
            case ReportDecoder.TEMPLATE_ID: {
                ReportDecoder d = new ReportDecoder().wrapAndApplyHeader(b, 0, h);
                List<TallyRow> tallies = new ArrayList<>();
                for (ReportDecoder.TalliesDecoder g : d.tallies()) {
                    tallies.add(new TallyRow(
                            g.engine(),
                            g.kind(),
                            g.answered(),
                            g.notRun(),
                            g.failed(),
                            g.running(),
                            g.tokens(),
                            g.b0(),
                            g.b1(),
                            g.b2(),
                            g.b3(),
                            g.b4(),
                            g.b5()));
                }
                List<HeartbeatRow> heartbeats = new ArrayList<>();
                for (ReportDecoder.HeartbeatsDecoder g : d.heartbeats()) {
                    heartbeats.add(new HeartbeatRow(g.engine(), g.agoMs()));
                }
                List<SourceRow> sources = new ArrayList<>();
                for (ReportDecoder.SourcesDecoder g : d.sources()) {
                    sources.add(new SourceRow(new NodeId(g.node()), g.sourceLife(), g.sourceSeq()));
                }
                return new Report(d.life(), d.seq(), tallies, heartbeats, sources);
            }
            case LedgerReportDecoder.TEMPLATE_ID: {
                LedgerReportDecoder d = new LedgerReportDecoder().wrapAndApplyHeader(b, 0, h);
                List<LedgerRow> rows = new ArrayList<>();
                for (LedgerReportDecoder.RowsDecoder g : d.rows()) {
                    rows.add(new LedgerRow(
                            g.revision(),
                            g.admitted(),
                            g.inProgress(),
                            g.completed(),
                            g.clientGone(),
                            g.overdue(),
                            g.nodeEnds(),
                            g.givenUp(),
                            g.sent(),
                            g.notRun(),
                            g.mayHaveRun(),
                            g.resumed(),
                            g.runTwice(),
                            text(g.clsLength(), g::getCls)));
                }
                return new LedgerReport(d.life(), d.seq(), d.revision(), d.digest(), d.endedTwice(), rows);
            }
            case LoadDecoder.TEMPLATE_ID: {
                LoadDecoder d = new LoadDecoder().wrapAndApplyHeader(b, 0, h);
                List<EngineLoad> engines = new ArrayList<>();
                for (LoadDecoder.EnginesDecoder g : d.engines()) {
                    engines.add(new EngineLoad(g.engine(), g.answered(), g.failed(), g.running(), g.tokens()));
                }
                List<RegionLoad> regions = new ArrayList<>();
                for (LoadDecoder.RegionsDecoder g : d.regions()) {
                    int n = g.engines();
                    int room = g.room();
                    int running = g.running();
                    int answered = g.answered();
                    int failed = g.failed();
                    regions.add(new RegionLoad(
                            text(g.regionLength(), g::getRegion),
                            text(g.serviceLength(), g::getService),
                            n,
                            room,
                            running,
                            answered,
                            failed));
                }
                return new Load(d.life(), d.seq(), engines, regions);
            }
            default:
                throw new FrameException(FrameException.Reason.UNKNOWN_TEMPLATE, "template " + h.templateId());
        }
    }

    private interface Putter {
        Object put(byte[] src, int offset, int length);
    }

    private interface Getter {
        int get(byte[] dst, int offset, int length);
    }

    private static short bit(boolean v) {
        return (short) (v ? 1 : 0);
    }

    private static void put(String s, Putter p) {
        put(s.getBytes(UTF_8), p);
    }

    private static void put(byte[] v, Putter p) {
        p.put(v, 0, v.length);
    }

    private static void put(View v, Putter p) {
        put(v == null ? NONE : encode(v), p);
    }

    private static byte[] raw(int length, Getter g) {
        if (length > PART_MAX) {
            throw new FrameException(FrameException.Reason.OVERSIZED, "part of " + length);
        }
        byte[] out = length == 0 ? NONE : new byte[length];
        g.get(out, 0, length);
        return out;
    }

    private static String text(int length, Getter g) {
        return new String(raw(length, g), UTF_8);
    }

    private static View view(int length, Getter g) {
        byte[] v = raw(length, g);
        return v.length == 0 ? null : (View) decode(v);
    }
}
