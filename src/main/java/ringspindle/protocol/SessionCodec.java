package ringspindle.protocol;

import static ringspindle.protocol.Fields.putText;
import static ringspindle.protocol.Fields.text;

import java.util.ArrayList;
import java.util.List;
import org.agrona.DirectBuffer;
import org.agrona.MutableDirectBuffer;
import ringspindle.protocol.Message.Heartbeat;
import ringspindle.protocol.Message.Hello;
import ringspindle.sbe.HeartbeatDecoder;
import ringspindle.sbe.HeartbeatEncoder;
import ringspindle.sbe.HelloDecoder;
import ringspindle.sbe.HelloEncoder;
import ringspindle.sbe.MessageHeaderDecoder;
import ringspindle.sbe.MessageHeaderEncoder;

/** Messages of sessions between nodes: the greeting and the heartbeat. */
final class SessionCodec {
    static final List<MessageTemplate<?>> TEMPLATES = List.of(
            new MessageTemplate<>(
                    HelloDecoder.TEMPLATE_ID,
                    HelloDecoder.BLOCK_LENGTH,
                    Hello.class,
                    SessionCodec::writeHello,
                    SessionCodec::readHello),
            new MessageTemplate<>(
                    HeartbeatDecoder.TEMPLATE_ID,
                    HeartbeatDecoder.BLOCK_LENGTH,
                    Heartbeat.class,
                    SessionCodec::writeHeartbeat,
                    SessionCodec::readHeartbeat));

    private SessionCodec() {}

    private static int writeHello(Hello message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        HelloEncoder encoder = new HelloEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .node(message.node().bits())
                .life(message.life())
                .kind((short) message.kindCode())
                .front(message.front());
        putText(message.name(), encoder::putName);
        putText(message.zone(), encoder::putZone);
        putText(message.region(), encoder::putRegion);
        return encoder.limit();
    }

    private static Hello readHello(DirectBuffer buffer, MessageHeaderDecoder header) {
        HelloDecoder decoder = new HelloDecoder().wrapAndApplyHeader(buffer, 0, header);
        return new Hello(
                new NodeId(decoder.node()),
                decoder.life(),
                decoder.kind(),
                decoder.front(),
                text(decoder.nameLength(), decoder::getName),
                text(decoder.zoneLength(), decoder::getZone),
                text(decoder.regionLength(), decoder::getRegion));
    }

    private static int writeHeartbeat(Heartbeat message, MutableDirectBuffer buffer, MessageHeaderEncoder header) {
        HeartbeatEncoder encoder = new HeartbeatEncoder()
                .wrapAndApplyHeader(buffer, 0, header)
                .n(message.n())
                .echo(message.echo())
                .flags((short) message.flags().bits())
                .epoch(message.epoch())
                .seq(message.seq())
                .digest(message.digest());
        HeartbeatEncoder.HeardEncoder heard = encoder.heardCount(message.heard().size());
        message.heard().forEach(node -> heard.next().node(node.bits()));
        return encoder.limit();
    }

    private static Heartbeat readHeartbeat(DirectBuffer buffer, MessageHeaderDecoder header) {
        HeartbeatDecoder decoder = new HeartbeatDecoder().wrapAndApplyHeader(buffer, 0, header);
        List<NodeId> heard = new ArrayList<>();
        for (HeartbeatDecoder.HeardDecoder row : decoder.heard()) {
            heard.add(new NodeId(row.node()));
        }
        return new Heartbeat(
                decoder.n(),
                decoder.echo(),
                NodeFlags.of(decoder.flags()),
                decoder.epoch(),
                decoder.seq(),
                decoder.digest(),
                heard);
    }
}
