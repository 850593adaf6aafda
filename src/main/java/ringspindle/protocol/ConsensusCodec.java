package ringspindle.protocol;

import static ringspindle.protocol.Fields.flag;
import static ringspindle.protocol.Fields.isSet;
import static ringspindle.protocol.Fields.putView;
import static ringspindle.protocol.Fields.view;

import java.util.ArrayList;
import java.util.List;
import org.agrona.DirectBuffer;
import org.agrona.MutableDirectBuffer;
import ringspindle.protocol.Message.Accept;
import ringspindle.protocol.Message.Accepted;
import ringspindle.protocol.Message.Decided;
import ringspindle.protocol.Message.Pledge;
import ringspindle.protocol.Message.Position;
import ringspindle.protocol.Message.Prepare;
import ringspindle.protocol.Message.Relearn;
import ringspindle.protocol.Message.Relearned;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.Message.Vote;
import ringspindle.sbe.AcceptDecoder;
import ringspindle.sbe.AcceptEncoder;
import ringspindle.sbe.AcceptedDecoder;
import ringspindle.sbe.AcceptedEncoder;
import ringspindle.sbe.DecidedDecoder;
import ringspindle.sbe.DecidedEncoder;
import ringspindle.sbe.MessageHeaderDecoder;
import ringspindle.sbe.MessageHeaderEncoder;
import ringspindle.sbe.PledgeDecoder;
import ringspindle.sbe.PledgeEncoder;
import ringspindle.sbe.PrepareDecoder;
import ringspindle.sbe.PrepareEncoder;
import ringspindle.sbe.RelearnDecoder;
import ringspindle.sbe.RelearnEncoder;
import ringspindle.sbe.RelearnedDecoder;
import ringspindle.sbe.RelearnedEncoder;
import ringspindle.sbe.ViewDecoder;
import ringspindle.sbe.ViewEncoder;
import ringspindle.sbe.VoteDecoder;
import ringspindle.sbe.VoteEncoder;

/** Messages of the consensus on views, and the durable vote. */
final class ConsensusCodec {
    static final List<MessageTemplate<?>> TEMPLATES = List.of(
            new MessageTemplate<>(
                    ViewDecoder.TEMPLATE_ID,
                    ViewDecoder.BLOCK_LENGTH,
                    View.class,
                    ConsensusCodec::writeView,
                    ConsensusCodec::readView),
            new MessageTemplate<>(
                    PrepareDecoder.TEMPLATE_ID,
                    PrepareDecoder.BLOCK_LENGTH,
                    Prepare.class,
                    ConsensusCodec::writePrepare,
                    ConsensusCodec::readPrepare),
            new MessageTemplate<>(
                    PledgeDecoder.TEMPLATE_ID,
                    PledgeDecoder.BLOCK_LENGTH,
                    Pledge.class,
                    ConsensusCodec::writePledge,
                    ConsensusCodec::readPledge),
            new MessageTemplate<>(
                    AcceptDecoder.TEMPLATE_ID,
                    AcceptDecoder.BLOCK_LENGTH,
                    Accept.class,
                    ConsensusCodec::writeAccept,
                    ConsensusCodec::readAccept),
            new MessageTemplate<>(
                    AcceptedDecoder.TEMPLATE_ID,
                    AcceptedDecoder.BLOCK_LENGTH,
                    Accepted.class,
                    ConsensusCodec::writeAccepted,
                    ConsensusCodec::readAccepted),
            new MessageTemplate<>(
                    DecidedDecoder.TEMPLATE_ID,
                    DecidedDecoder.BLOCK_LENGTH,
                    Decided.class,
                    ConsensusCodec::writeDecided,
                    ConsensusCodec::readDecided),
            new MessageTemplate<>(
                    RelearnDecoder.TEMPLATE_ID,
                    RelearnDecoder.BLOCK_LENGTH,
                    Relearn.class,
                    ConsensusCodec::writeRelearn,
                    ConsensusCodec::readRelearn),
            new MessageTemplate<>(
                    RelearnedDecoder.TEMPLATE_ID,
                    RelearnedDecoder.BLOCK_LENGTH,
                    Relearned.class,
                    ConsensusCodec::writeRelearned,
                    ConsensusCodec::readRelearned),
            new MessageTemplate<>(
                    VoteDecoder.TEMPLATE_ID,
                    VoteDecoder.BLOCK_LENGTH,
                    Vote.class,
                    ConsensusCodec::writeVote,
                    ConsensusCodec::readVote));

    private ConsensusCodec() {}

    private static int writeView(View message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        ViewEncoder encoder = new ViewEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .epoch(message.epoch())
                .baseLineage(message.base().lineage())
                .baseSeq(message.base().seq());
        ViewEncoder.VotersEncoder voters = encoder.votersCount(message.voters().size());
        message.voters().forEach(node -> voters.next().node(node.bits()));
        ViewEncoder.ChainEncoder chain = encoder.chainCount(message.chain().size());
        message.chain().forEach(node -> chain.next().node(node.bits()));
        return encoder.limit();
    }

    private static View readView(DirectBuffer buffer, MessageHeaderDecoder header) {
        ViewDecoder decoder = new ViewDecoder().wrapAndApplyHeader(buffer, 0, header);
        long lineage = decoder.baseLineage();
        // null in what the first version of the schema wrote
        Position base = lineage == ViewDecoder.baseLineageNullValue()
                ? Position.NONE
                : new Position(lineage, decoder.baseSeq());
        List<NodeId> voters = new ArrayList<>();
        for (ViewDecoder.VotersDecoder row : decoder.voters()) {
            voters.add(new NodeId(row.node()));
        }
        List<NodeId> chain = new ArrayList<>();
        for (ViewDecoder.ChainDecoder row : decoder.chain()) {
            chain.add(new NodeId(row.node()));
        }
        return new View(decoder.epoch(), voters, chain, base);
    }

    private static int writePrepare(Prepare message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        PrepareEncoder encoder = new PrepareEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .epoch(message.epoch())
                .ballot(message.ballot());
        putView(message.view(), encoder::putView);
        return encoder.limit();
    }

    private static Prepare readPrepare(DirectBuffer buffer, MessageHeaderDecoder header) {
        PrepareDecoder decoder = new PrepareDecoder().wrapAndApplyHeader(buffer, 0, header);
        return new Prepare(decoder.epoch(), decoder.ballot(), view(decoder.viewLength(), decoder::getView));
    }

    private static int writePledge(Pledge message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        PledgeEncoder encoder = new PledgeEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .epoch(message.epoch())
                .ballot(message.ballot())
                .granted(flag(message.granted()))
                .promised(message.promised())
                .acceptedBallot(message.acceptedBallot())
                .lineage(message.lineage())
                .seq(message.seq());
        putView(message.accepted(), encoder::putAccepted);
        putView(message.view(), encoder::putView);
        return encoder.limit();
    }

    private static Pledge readPledge(DirectBuffer buffer, MessageHeaderDecoder header) {
        PledgeDecoder decoder = new PledgeDecoder().wrapAndApplyHeader(buffer, 0, header);
        return new Pledge(
                decoder.epoch(),
                decoder.ballot(),
                isSet(decoder.granted()),
                decoder.promised(),
                decoder.acceptedBallot(),
                decoder.lineage(),
                decoder.seq(),
                view(decoder.acceptedLength(), decoder::getAccepted),
                view(decoder.viewLength(), decoder::getView));
    }

    private static int writeAccept(Accept message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        AcceptEncoder encoder = new AcceptEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .epoch(message.epoch())
                .ballot(message.ballot());
        putView(message.view(), encoder::putView);
        return encoder.limit();
    }

    private static Accept readAccept(DirectBuffer buffer, MessageHeaderDecoder header) {
        AcceptDecoder decoder = new AcceptDecoder().wrapAndApplyHeader(buffer, 0, header);
        return new Accept(decoder.epoch(), decoder.ballot(), view(decoder.viewLength(), decoder::getView));
    }

    private static int writeAccepted(Accepted message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        AcceptedEncoder encoder = new AcceptedEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .epoch(message.epoch())
                .ballot(message.ballot())
                .granted(flag(message.granted()))
                .promised(message.promised());
        return encoder.limit();
    }

    private static Accepted readAccepted(DirectBuffer buffer, MessageHeaderDecoder header) {
        AcceptedDecoder decoder = new AcceptedDecoder().wrapAndApplyHeader(buffer, 0, header);
        return new Accepted(decoder.epoch(), decoder.ballot(), isSet(decoder.granted()), decoder.promised());
    }

    private static int writeDecided(Decided message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        DecidedEncoder encoder = new DecidedEncoder().wrapAndApplyHeader(buffer, 0, header);
        putView(message.view(), encoder::putView);
        return encoder.limit();
    }

    private static Decided readDecided(DirectBuffer buffer, MessageHeaderDecoder header) {
        DecidedDecoder decoder = new DecidedDecoder().wrapAndApplyHeader(buffer, 0, header);
        return new Decided(view(decoder.viewLength(), decoder::getView));
    }

    private static int writeRelearn(Relearn message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        RelearnEncoder encoder =
                new RelearnEncoder().wrapAndApplyHeader(buffer, 0, header).id(message.id());
        return encoder.limit();
    }

    private static Relearn readRelearn(DirectBuffer buffer, MessageHeaderDecoder header) {
        RelearnDecoder decoder = new RelearnDecoder().wrapAndApplyHeader(buffer, 0, header);
        return new Relearn(decoder.id());
    }

    private static int writeRelearned(Relearned message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        RelearnedEncoder encoder = new RelearnedEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .id(message.id())
                .promisedEpoch(message.promisedEpoch())
                .promised(message.promised())
                .acceptedBallot(message.acceptedBallot());
        putView(message.accepted(), encoder::putAccepted);
        putView(message.view(), encoder::putView);
        return encoder.limit();
    }

    private static Relearned readRelearned(DirectBuffer buffer, MessageHeaderDecoder header) {
        RelearnedDecoder decoder = new RelearnedDecoder().wrapAndApplyHeader(buffer, 0, header);
        return new Relearned(
                decoder.id(),
                decoder.promisedEpoch(),
                decoder.promised(),
                decoder.acceptedBallot(),
                view(decoder.acceptedLength(), decoder::getAccepted),
                view(decoder.viewLength(), decoder::getView));
    }

    private static int writeVote(Vote message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        VoteEncoder encoder = new VoteEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .promisedEpoch(message.promisedEpoch())
                .promised(message.promised())
                .acceptedBallot(message.acceptedBallot());
        putView(message.accepted(), encoder::putAccepted);
        putView(message.view(), encoder::putView);
        return encoder.limit();
    }

    private static Vote readVote(DirectBuffer buffer, MessageHeaderDecoder header) {
        VoteDecoder decoder = new VoteDecoder().wrapAndApplyHeader(buffer, 0, header);
        return new Vote(
                decoder.promisedEpoch(),
                decoder.promised(),
                decoder.acceptedBallot(),
                view(decoder.acceptedLength(), decoder::getAccepted),
                view(decoder.viewLength(), decoder::getView));
    }
}
