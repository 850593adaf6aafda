package ringspindle.protocol;

import static ringspindle.protocol.Fields.bytes;
import static ringspindle.protocol.Fields.putBytes;
import static ringspindle.protocol.Fields.putText;
import static ringspindle.protocol.Fields.text;

import java.util.List;
import org.agrona.DirectBuffer;
import org.agrona.MutableDirectBuffer;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.Op;
import ringspindle.protocol.Message.Reply;
import ringspindle.sbe.CallDecoder;
import ringspindle.sbe.CallEncoder;
import ringspindle.sbe.MessageHeaderDecoder;
import ringspindle.sbe.MessageHeaderEncoder;
import ringspindle.sbe.OpDecoder;
import ringspindle.sbe.OpEncoder;
import ringspindle.sbe.ReplyDecoder;
import ringspindle.sbe.ReplyEncoder;

/** Messages of calls on the control state: a call on its way, its reply, and the operation that it leads to. */
final class OperationCodec {
    static final List<MessageTemplate<?>> TEMPLATES = List.of(
            new MessageTemplate<>(
                    CallDecoder.TEMPLATE_ID,
                    CallDecoder.BLOCK_LENGTH,
                    Call.class,
                    OperationCodec::writeCall,
                    OperationCodec::readCall),
            new MessageTemplate<>(
                    ReplyDecoder.TEMPLATE_ID,
                    ReplyDecoder.BLOCK_LENGTH,
                    Reply.class,
                    OperationCodec::writeReply,
                    OperationCodec::readReply),
            new MessageTemplate<>(
                    OpDecoder.TEMPLATE_ID,
                    OpDecoder.BLOCK_LENGTH,
                    Op.class,
                    OperationCodec::writeOp,
                    OperationCodec::readOp));

    private OperationCodec() {}

    private static int writeCall(Call message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        CallEncoder encoder = new CallEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .id(message.id())
                .kind((short) message.kind())
                .base(message.base());
        putText(message.arg(), encoder::putArg);
        putBytes(message.body(), encoder::putBody);
        return encoder.limit();
    }

    private static Call readCall(DirectBuffer buffer, MessageHeaderDecoder header) {
        CallDecoder decoder = new CallDecoder().wrapAndApplyHeader(buffer, 0, header);
        return new Call(
                decoder.id(),
                decoder.kind(),
                decoder.base(),
                text(decoder.argLength(), decoder::getArg),
                bytes(decoder.bodyLength(), decoder::getBody));
    }

    private static int writeReply(Reply message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        ReplyEncoder encoder = new ReplyEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .id(message.id())
                .outcome((short) message.outcome());
        putBytes(message.body(), encoder::putBody);
        return encoder.limit();
    }

    private static Reply readReply(DirectBuffer buffer, MessageHeaderDecoder header) {
        ReplyDecoder decoder = new ReplyDecoder().wrapAndApplyHeader(buffer, 0, header);
        return new Reply(decoder.id(), decoder.outcome(), bytes(decoder.bodyLength(), decoder::getBody));
    }

    private static int writeOp(Op message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        OpEncoder encoder = new OpEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .kind((short) message.kind())
                .base(message.base())
                .revision(message.revision())
                .digest(message.digest());
        putText(message.arg(), encoder::putArg);
        putBytes(message.body(), encoder::putBody);
        return encoder.limit();
    }

    private static Op readOp(DirectBuffer buffer, MessageHeaderDecoder header) {
        OpDecoder decoder = new OpDecoder().wrapAndApplyHeader(buffer, 0, header);
        return new Op(
                decoder.kind(),
                decoder.base(),
                decoder.revision(),
                decoder.digest(),
                text(decoder.argLength(), decoder::getArg),
                bytes(decoder.bodyLength(), decoder::getBody));
    }
}
